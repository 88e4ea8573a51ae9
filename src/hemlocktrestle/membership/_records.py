"""Records of VMs and upstreams, as the platform lists them."""

from typing import Literal, NamedTuple

UpstreamKind = Literal["engine", "plain"]


class VmSize(NamedTuple):
    """What a VM has, 0 if it is not known; larger VMs compare as larger.

    ``cpu_cores`` is the processor time that its processes get, in cores;
    ``link_mbps`` is the bandwidth of its network link.
    """

    cpu_cores: float = 0.0
    link_mbps: float = 0.0


class VmRecord(NamedTuple):
    """One VM, as the platform lists it; ``address`` is that for peer connections."""

    name: str
    zone: str
    region: str
    address: str
    is_leaving: bool
    size: VmSize = VmSize()


class UpstreamRecord(NamedTuple):
    """One upstream, as the platform lists it.

    ``pools`` names the models or the plain service that it serves;
    ``generation`` names its hardware generation; ``slots`` is how many requests it
    serves concurrently, 0 if the platform does not state it; ``memory_tokens`` is how
    many tokens these may hold together, 0 if there is no such limit.
    """

    name: str
    zone: str
    region: str
    address: str
    kind: UpstreamKind
    pools: tuple[str, ...]
    generation: str
    is_leaving: bool
    slots: int = 0
    memory_tokens: int = 0


class Listing(NamedTuple):
    """One answer of the platform's list."""

    vms: tuple[VmRecord, ...]
    upstreams: tuple[UpstreamRecord, ...]

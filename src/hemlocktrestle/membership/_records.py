"""Records of VMs and upstreams, as the platform lists them."""

from typing import Literal, NamedTuple

UpstreamKind = Literal["engine", "plain"]


class VmRecord(NamedTuple):
    """One VM of the system, as the platform lists it; ``address`` is its peer port."""

    name: str
    zone: str
    region: str
    address: str
    is_leaving: bool


class UpstreamRecord(NamedTuple):
    """One upstream, as the platform lists it.

    ``pools`` names the models or the plain service that it serves;
    ``generation`` names its hardware generation; ``slots`` is how many requests it
    works on at once, 0 if the platform does not say.
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


class Listing(NamedTuple):
    """What the platform's list said at one moment."""

    vms: tuple[VmRecord, ...]
    upstreams: tuple[UpstreamRecord, ...]

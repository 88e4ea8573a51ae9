"""The other VMs of the system: membership, demand, and links to pool schedulers."""

import logging

import trio

from hemlocktrestle.edge._state import EdgeState, now_ms
from hemlocktrestle.edge.attempts._part_gate import PartGate
from hemlocktrestle.edge.replicas._replica_exchange import ReplicaExchange
from hemlocktrestle.edge.store._configuration_exchange import ConfigurationExchange
from hemlocktrestle.edge.store._registration import VmEntry
from hemlocktrestle.edge.store._vm_list import VmList
from hemlocktrestle.errors import RequestError
from hemlocktrestle.gateway import (
    Configuration,
    Demand,
    FleetDemand,
    FleetSnapshot,
)
from hemlocktrestle.membership import (
    Listing,
    Membership,
    ProbeResult,
    UpstreamRecord,
    VmRecord,
    VmSize,
    region_of,
)
from hemlocktrestle.peers import PeerNetwork, SchedulerTask
from hemlocktrestle.quarantine import QuarantineRegistry
from hemlocktrestle.relay import open_connection
from hemlocktrestle.timers import sleep_until_multiple
from hemlocktrestle.wire import (
    CustomerDemand,
    Heartbeat,
    Message,
    PoolSummary,
    SoundRequest,
)

log = logging.getLogger(__name__)

SCHEDULER_ROLE = "keeper"
"""Key under which the VMs of a region are ranked for the scheduler role."""

CANDIDATE_COUNT = 2
"""VMs of a region that peers connect to: its scheduler, and one for fast failover."""

AGE_MS_MAX = 3_600_000.0
"""Largest age that a heartbeat states, in milliseconds."""

SOUND_REQUESTS_MAX = 16
"""Most sound requests that one heartbeat states."""

PROBE_CHECK_S = 0.25
"""Time between checks for replicas that are due for a probe, in seconds."""


class EdgeFleet:
    """Combines VMs and replicas from the store with updates from other VMs.

    Args:
        state: shared state of the process.
        entry: this VM.
    """

    def __init__(self, state: EdgeState, entry: VmEntry) -> None:
        self._state = state
        self._entry = entry
        self._vm_list = VmList(entry)
        self.membership = Membership(
            _vm_record(entry), domain_of=region_of, role_key=SCHEDULER_ROLE
        )
        self.demand = FleetDemand(entry.vm, entry.region)
        self.exchange = ConfigurationExchange(
            state, entry.vm, region_of=self._region_of
        )
        self.replica_exchange = ReplicaExchange(
            state,
            entry.vm,
            is_recipient=self._receives_replicas,
            on_changed=self.sync,
        )
        self.replica_notices = state.replica_notices
        self.replica_notices.on_learned = self._on_leaving_learned
        self._candidates: dict[str, VmRecord] = {}
        self._network: PeerNetwork | None = None
        self.part_gate = PartGate(state)
        self.quarantine = QuarantineRegistry()
        self.scheduler_task: SchedulerTask | None = None
        state.on_store_restored.append(self._on_store_restored)

    @property
    def network(self) -> PeerNetwork | None:
        """Links to the other VMs, ``None`` before they are set."""
        return self._network

    @network.setter
    def network(self, network: PeerNetwork) -> None:
        self._network = network
        self.exchange.network = self.replica_exchange.network = network

    def apply_busy_customers(self, customers: set[str]) -> None:
        """Apply the set of customers that the store lists as busy."""
        if self._vm_list.is_returning:
            customers = customers | self._state.stored_busy_customers
        self._state.stored_busy_customers = customers

    def customers_to_record(self) -> set[str]:
        """Return the customers to record as busy; none if another VM schedules here."""
        membership = self.membership
        scheduler = membership.scheduler_of("", membership.domain, now_ms())
        if scheduler != self._entry.vm:
            return set()
        return self._state.quotas.busy_customers(self.fleet())

    def apply_vms(self, entries: list[VmEntry]) -> None:
        """Apply the list of registered VMs."""
        known = self._vm_list.entries
        if not self._state.has_loaded_vms:
            log.info("vms_read", extra={"vm_count": len(entries)})
        self._state.has_loaded_vms = True
        if not self._vm_list.replace(entries):
            return
        if known.keys() != self._vm_list.entries.keys():
            log.info("vms_changed", extra={"vms": sorted(self._vm_list.entries)})
        self.sync()

    def has_current_vms(self) -> bool:
        """Tell whether the list of VMs need not be read from the store again.

        A process reads it during its first quota window, with the busy customers.
        """
        return not self._startup_share(now_ms()) and self._vm_list.is_confirmed(
            self.exchange.relays
        )

    @property
    def leads_rollouts(self) -> bool:
        """Whether this VM leads moves to other versions.

        It is the scheduler of the first region.
        """
        domain = min(self.membership.domains(), default="")
        return self.membership.domain == domain and self.is_scheduler

    @property
    def is_scheduler(self) -> bool:
        """Whether this VM schedules the pools of its region."""
        membership = self.membership
        scheduler = membership.scheduler_of("", membership.domain, now_ms())
        return scheduler == self._entry.vm

    def vm_names(self) -> set[str]:
        """Return the names of all registered VMs."""
        return set(self._vm_list.entries)

    def sync(self) -> None:
        """Update membership and links from the registered VMs and replicas."""
        region_of_zone = self._state.settings.region_of_zone
        configuration = self._state.configuration
        upstreams = tuple(
            UpstreamRecord(
                name=record.replica_id,
                zone=record.zone,
                region=region_of_zone.get(record.zone, record.zone),
                address=record.address,
                kind="engine" if _is_engine(configuration, record.service) else "plain",
                pools=(record.service,),
                generation="",
                is_leaving=record.is_draining
                or self.replica_notices.is_leaving(record),
                slots=record.slots,
                memory_tokens=self._memory_tokens(record.service),
            )
            for record in self._state.replicas.replicas()
        )
        vms = tuple(_vm_record(entry) for entry in self._vm_list.entries.values())
        self.membership.apply_listing(Listing(vms, upstreams))
        self._state.rollouts.on_replicas_changed()
        if self.scheduler_task is not None:
            self.scheduler_task.refresh()
        own_domain = self.membership.candidates(self._entry.region, CANDIDATE_COUNT)
        relays = tuple(record.name for record in own_domain)
        self.exchange.set_relays(relays)
        self.replica_exchange.set_relays(relays)
        self._candidates = self._all_candidates()
        if self.network is not None:
            self.network.sync_peers(tuple(self._candidates.values()))

    def _memory_tokens(self, name: str) -> int:
        """Return how many tokens the requests at an engine may hold, 0 for no limit.

        An engine that does not crash makes room by itself.
        """
        configuration = self._state.configuration
        service = configuration.services.get(name) if configuration else None
        if service is None or service.engine is None:
            return 0
        is_limit = self._state.settings.engines_run_out
        return service.engine.memory_tokens if is_limit else 0

    @property
    def process_name(self) -> str:
        """Name of this process, unique across restarts of the VM's process."""
        return f"{self._entry.vm}/{self._entry.boot_id[:6]}"

    def on_configuration_changed(self) -> None:
        """Apply a new configuration, and announce its revision if this is a relay."""
        self.sync()
        if self.network is not None and self.exchange.is_relay:
            self.network.send_heartbeats()

    def _on_store_restored(self) -> None:
        """Keep the VMs that the store may have lost, and tell the others its era."""
        self._vm_list.begin_era()
        if self.network is not None and self.exchange.is_relay:
            self.network.send_heartbeats()

    def _on_leaving_learned(self, source: str) -> None:
        """Give a replica that leaves no more permits, and tell the other VMs.

        What another VM said is passed on by the relays, which all VMs are linked to.
        """
        self.sync()
        if self.network is not None and (not source or self.exchange.is_relay):
            self.network.send_heartbeats()

    def _region_of(self, vm: str) -> str | None:
        entry = self._vm_list.entries.get(vm)
        return entry.region if entry is not None else None

    def _receives_replicas(self, vm: str) -> bool:
        """Tell whether a relay sends changes of the replicas to a VM.

        The other regions' relays pass them on to the VMs there.
        """
        return (
            self._region_of(vm) in {self._entry.region, None} or vm in self._candidates
        )

    def fleet(self, customer: str | None = None) -> FleetSnapshot:
        """Return the known demand on all VMs, or only that of one customer."""
        membership = self.membership
        now = now_ms()
        scheduler = membership.scheduler_of("", membership.domain, now)
        return self.demand.snapshot(
            self._state.quotas.demands(now),
            is_scheduler=scheduler == self._entry.vm,
            vm_count=len(self._vm_list.entries),
            now_ms=now,
            own_startup_share=self._startup_share(now),
            customer=customer,
        )

    def heartbeat(self) -> Heartbeat:
        """Return this VM's heartbeat: its state, its pools and its demand."""
        now = now_ms()
        pools: tuple[PoolSummary, ...] = ()
        if self.scheduler_task is not None:
            pools = self.scheduler_task.summaries()
        self.membership.record_pools(self._entry.vm, pools)
        own = self._state.quotas.demands(now)
        vm_count = 0
        total: tuple[Demand, ...] = ()
        startup_share = 0.0
        scheduler = self.membership.scheduler_of("", self.membership.domain, now)
        if scheduler == self._entry.vm:
            vm_count, total = self.demand.domain_demand(own, now)
            startup_share = self.demand.domain_startup_share(
                self._startup_share(now), now
            )
        return Heartbeat(
            max(0, self._state.configuration_revision.number),
            "",
            int(min(now - self._state.configuration_confirmed_ms, AGE_MS_MAX)),
            self._state.is_draining,
            pools,
            self.membership.refusals(),
            tuple(CustomerDemand(*demand) for demand in own),
            tuple(CustomerDemand(*demand) for demand in total),
            vm_count,
            self._startup_share(now),
            startup_share,
            self.replica_exchange.reads_store,
            self._vm_list.digest,
            self.replica_notices.shared(),
            self.part_gate.sound_parts(),
            self._sound_requests(now),
            max(0, self._state.store_era),
            max(0, self._state.configuration_revision.era),
        )

    def on_heartbeat(self, vm: str, message: Message) -> None:
        """Apply another VM's heartbeat."""
        if not isinstance(message, Heartbeat):
            return
        now = now_ms()
        if message.store_era:
            self._state.observe_store_era(message.store_era, source=vm)
        self.exchange.on_heartbeat(vm, message)
        self.replica_exchange.on_heartbeat(vm, message)
        self._vm_list.on_heartbeat(vm, message)
        self.replica_notices.on_news(vm, message.leaving)
        self.part_gate.on_heartbeat(vm, message)
        for fingerprint, age_ms in message.sound_requests:
            if self.quarantine.record_answer(fingerprint, now - age_ms):
                log.info(
                    "request_acquitted",
                    extra={"fingerprint": fingerprint, "source": vm, "age_ms": age_ms},
                )
        self.membership.on_heartbeat(
            vm,
            now,
            is_draining=message.draining,
            refusals=message.refusals,
            pools=message.pools,
        )
        entry = self._vm_list.entries.get(vm)
        if entry is None:
            return
        if entry.region == self._entry.region:
            own = (Demand(*demand) for demand in message.demands)
            self.demand.record_vm_demand(vm, own, now, startup_share=message.young)
        if message.area_vm_count:
            total = (Demand(*demand) for demand in message.area_demands)
            self.demand.record_domain_demand(
                entry.region,
                message.area_vm_count,
                total,
                now,
                startup_share=message.area_young,
            )

    def _sound_requests(self, now: float) -> tuple[SoundRequest, ...]:
        """Return the latest requests that other VMs may suspect but were answered."""
        newest = sorted(
            (now - at_ms, fingerprint)
            for fingerprint, at_ms in self.quarantine.answered_accused(now).items()
        )
        return tuple(
            SoundRequest(fingerprint, int(age_ms))
            for age_ms, fingerprint in newest[:SOUND_REQUESTS_MAX]
        )

    def _startup_share(self, now: float) -> float:
        window_ms = self._state.settings.bounds.quota_window_ms
        return self._state.quotas.startup_share(window_ms, now)

    async def probe(self) -> None:
        """Probe replicas that could not be reached, until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                if self.replica_notices.forget_displaced():
                    self.sync()
                for record in self.membership.probes_due(now_ms()):
                    nursery.start_soon(self._probe, record)
                await sleep_until_multiple(PROBE_CHECK_S)

    async def _probe(self, record: UpstreamRecord) -> None:
        result = ProbeResult.HEALTHY
        try:
            stream = await open_connection(record.address)
            await trio.aclose_forcefully(stream)
        except RequestError:
            result = ProbeResult.REFUSING
        self.membership.record_probe(record, result, now_ms())
        log.info("replica_probed", extra={"replica": record.name, "told": result.value})

    def _all_candidates(self) -> dict[str, VmRecord]:
        """Return the VMs to connect to: each region's scheduler and its successor."""
        found: dict[str, VmRecord] = {}
        for domain in self.membership.domains():
            for record in self.membership.candidates(domain, CANDIDATE_COUNT):
                found[record.name] = record
        found.pop(self._entry.vm, None)
        return found


def _vm_record(entry: VmEntry) -> VmRecord:
    size = VmSize(entry.cpu_cores, entry.link_mbps)
    return VmRecord(entry.vm, entry.zone, entry.region, entry.address, False, size)


def _is_engine(configuration: Configuration | None, name: str) -> bool:
    service = configuration.services.get(name) if configuration is not None else None
    return service is not None and service.engine is not None

"""The other VMs: who they are, what they ask for, and links to the keepers."""

import logging

import trio

from hemlocktrestle.edge._registration import VmEntry
from hemlocktrestle.edge._state import EdgeState, now_ms
from hemlocktrestle.edge._watchers import take_configuration
from hemlocktrestle.errors import RequestError
from hemlocktrestle.gateway import (
    Configuration,
    Demand,
    FleetDemand,
    FleetSnapshot,
    ReplicaRecord,
    ReplicaUpdate,
)
from hemlocktrestle.membership import (
    Listing,
    Membership,
    ProbeResult,
    UpstreamRecord,
    VmRecord,
    region_of,
)
from hemlocktrestle.peers import PeerNetwork, SchedulerTask
from hemlocktrestle.relay import open_connection
from hemlocktrestle.wire import (
    ConfigurationNews,
    CustomerDemand,
    Heartbeat,
    Message,
    PoolSummary,
    ReplicaNews,
)

log = logging.getLogger(__name__)

KEEPER_ROLE = "keeper"
"""What the VMs of a region are ranked for."""

CANDIDATE_COUNT = 2
"""VMs of a region that may keep its pools: one, and one to take over at once."""

PROBE_CHECK_S = 0.25
"""Time between looks for replicas to probe, in seconds."""


class EdgeFleet:
    """Joins the registered VMs and replicas with what links tell.

    Args:
        state: what the process believes.
        entry: this VM.
    """

    def __init__(self, state: EdgeState, entry: VmEntry) -> None:
        self._state = state
        self._entry = entry
        self._vms: dict[str, VmEntry] = {entry.vm: entry}
        self.membership = Membership(
            _vm_record(entry), domain_of=region_of, role_key=KEEPER_ROLE
        )
        self.demand = FleetDemand(entry.vm, entry.region)
        self._told: dict[str, int] = {}
        self.network: PeerNetwork | None = None
        self.scheduler: SchedulerTask | None = None

    def take_busy(self, customers: set[str]) -> None:
        """Take in which customers are noted as busy in the store."""
        self._state.stored_busy_customers = customers

    def busy(self) -> set[str]:
        """Return the customers to note as busy, if this VM keeps its region's pools."""
        membership = self.membership
        scheduler = membership.scheduler_of("", membership.domain, now_ms())
        if scheduler != self._entry.vm:
            return set()
        return self._state.quotas.busy_customers(self.fleet())

    def take_vms(self, entries: list[VmEntry]) -> None:
        """Take in which VMs are registered."""
        known = self._vms
        if not self._state.has_vms:
            log.info("vms_read", extra={"vm_count": len(entries)})
        self._state.has_vms = True
        self._vms = {entry.vm: entry for entry in entries}
        self._vms[self._entry.vm] = self._entry
        if known.keys() != self._vms.keys():
            log.info("vms_changed", extra={"vms": sorted(self._vms)})
        self.sync()

    def sync(self) -> None:
        """Bring membership and links to what is registered."""
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
                is_leaving=record.is_draining,
                slots=record.slots,
            )
            for record in self._state.replicas.replicas()
        )
        vms = tuple(_vm_record(entry) for entry in self._vms.values())
        self.membership.apply_listing(Listing(vms, upstreams))
        if self.network is not None:
            self.network.sync_peers(self._dialled())

    @property
    def name_of_process(self) -> str:
        """Name of this process, which no process before it had."""
        return f"{self._entry.vm}/{self._entry.boot_id[:6]}"

    def replicas_changed(self) -> None:
        """Take in what has changed in the book of replicas, and tell the others."""
        self._tell_replicas(skip="")

    def greeting(self, vm: str) -> list[Message]:
        """Return what a VM may not know yet, for a link that has just opened."""
        return [_news(fact) for fact in self._state.replicas.all_updates()]

    def forget(self, vm: str) -> None:
        """Take note that a link to a VM ended: what it was told may be lost."""
        self._told.pop(vm, None)

    def heard_news(self, vm: str, message: Message) -> None:
        """Take in what another VM knows from the store."""
        if isinstance(message, ReplicaNews):
            self._state.replicas.apply_update(_fact(message))
            self._tell_replicas(skip=vm)
        elif isinstance(message, ConfigurationNews):
            take_configuration(
                self._state, message.document, message.revision, source=vm
            )

    def _tell_replicas(self, *, skip: str) -> None:
        news = self._state.replicas.pop_updates()
        if not news:
            return
        records = self._state.replicas.replicas()
        log.info(
            "replicas_changed",
            extra={
                "changes": {fact.replica_id: fact.revision for fact in news},
                "source": skip or "store",
                "ready": [r.replica_id for r in records if not r.is_draining],
                "draining": [r.replica_id for r in records if r.is_draining],
            },
        )
        self.sync()
        if self.network is not None:
            for fact in news:
                self.network.broadcast(_news(fact), skip=skip)

    def _tell_configuration(self, vm: str, revision: int) -> None:
        """Send the configuration to a VM that has an older one, once.

        Most VMs have it from the store; it is too large to go to all.
        """
        state = self._state
        known = max(revision, self._told.get(vm, -1))
        if self.network is None or known >= state.configuration_revision:
            return
        news = ConfigurationNews(
            state.configuration_revision, state.configuration_document
        )
        if self.network.send(vm, news) or self.network.reply(vm, news):
            self._told[vm] = state.configuration_revision

    def fleet(self, customer: str | None = None) -> FleetSnapshot:
        """Return what is known of the other VMs' demand, or that for a customer."""
        membership = self.membership
        now = now_ms()
        scheduler = membership.scheduler_of("", membership.domain, now)
        return self.demand.snapshot(
            self._state.quotas.demands(now),
            is_scheduler=scheduler == self._entry.vm,
            vm_count=len(self._vms),
            now_ms=now,
            own_startup_share=self._young(now),
            customer=customer,
        )

    def heartbeat(self) -> Heartbeat:
        """Return what other VMs need to know of this one."""
        now = now_ms()
        pools: tuple[PoolSummary, ...] = ()
        if self.scheduler is not None:
            pools = self.scheduler.summaries()
        self.membership.record_pools(self._entry.vm, pools)
        own = self._state.quotas.demands(now)
        vm_count, total = self.demand.domain_demand(own, now)
        is_scheduler = self.membership.scheduler_of("", self.membership.domain, now)
        return Heartbeat(
            max(0, self._state.configuration_revision),
            "",
            0,
            self._state.is_draining,
            pools,
            self.membership.refusals(),
            tuple(CustomerDemand(*demand) for demand in own),
            tuple(CustomerDemand(*demand) for demand in total),
            vm_count if is_scheduler == self._entry.vm else 0,
            self._young(now),
            self.demand.domain_startup_share(self._young(now), now),
        )

    def heard(self, vm: str, message: Message) -> None:
        """Take in another VM's heartbeat."""
        if not isinstance(message, Heartbeat):
            return
        now = now_ms()
        self._tell_configuration(vm, message.tree_revision)
        self.membership.on_heartbeat(
            vm,
            now,
            is_draining=message.draining,
            refusals=message.refusals,
            pools=message.pools,
        )
        entry = self._vms.get(vm)
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

    def _young(self, now: float) -> float:
        window_ms = self._state.settings.bounds.quota_window_ms
        return self._state.quotas.startup_share(window_ms, now)

    async def probe(self) -> None:
        """Try replicas that could not be reached, until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                for record in self.membership.probes_due(now_ms()):
                    nursery.start_soon(self._probe, record)
                await trio.sleep(PROBE_CHECK_S)

    async def _probe(self, record: UpstreamRecord) -> None:
        told = ProbeResult.HEALTHY
        try:
            stream = await open_connection(record.address)
            await trio.aclose_forcefully(stream)
        except RequestError:
            told = ProbeResult.REFUSING
        self.membership.record_probe(record, told, now_ms())
        log.info("replica_probed", extra={"replica": record.name, "told": told.value})

    def _dialled(self) -> tuple[VmRecord, ...]:
        """Return the VMs to keep links to: those that may keep a region's pools."""
        found: dict[str, VmRecord] = {}
        for domain in self.membership.domains():
            for record in self.membership.candidates(domain, CANDIDATE_COUNT):
                found[record.name] = record
        found.pop(self._entry.vm, None)
        return tuple(found.values())


def _news(fact: ReplicaUpdate) -> ReplicaNews:
    record = fact.record
    if record is None:
        return ReplicaNews(fact.replica_id, fact.revision, True)
    return ReplicaNews(
        fact.replica_id,
        fact.revision,
        False,
        record.service,
        record.address,
        record.zone,
        record.slots,
        record.is_draining,
        record.cold_ms,
        record.born_ms,
    )


def _fact(news: ReplicaNews) -> ReplicaUpdate:
    record = None
    if not news.is_gone:
        record = ReplicaRecord(
            replica_id=news.replica_id,
            service=news.service,
            address=news.address,
            zone=news.zone,
            slots=news.slots,
            is_draining=news.is_draining,
            cold_ms=news.cold_ms,
            born_ms=news.born_ms,
        )
    return ReplicaUpdate(news.replica_id, news.revision, record)


def _vm_record(entry: VmEntry) -> VmRecord:
    return VmRecord(entry.vm, entry.zone, entry.region, entry.address, False)


def _is_engine(configuration: Configuration | None, name: str) -> bool:
    service = configuration.services.get(name) if configuration is not None else None
    return service is not None and service.engine is not None

"""Distribution of changes of the replica registry among the VMs.

The relays of a region watch the replicas in the store and send each change to the
VMs of their region and to the relays of the others.  A VM that has all that a relay
knows need not watch the store itself.
"""

import logging
import math
from collections.abc import Callable
from typing import NamedTuple

from pydantic import TypeAdapter

from hemlocktrestle.documents import check
from hemlocktrestle.edge._state import EdgeState, now_ms
from hemlocktrestle.edge.store._store_task import OWN_READ_MS
from hemlocktrestle.errors import RequestError
from hemlocktrestle.gateway import (
    NO_REVISION,
    ReplicaRecord,
    ReplicaUpdate,
    StoreRevision,
)
from hemlocktrestle.peers import PeerNetwork
from hemlocktrestle.wire import (
    Heartbeat,
    Message,
    ReplicaBatch,
    ReplicaFetch,
    ReplicaNews,
)

log = logging.getLogger(__name__)

FETCH_TIMEOUT_MS = 2_000.0
"""Time after which replicas that did not come are fetched again, in milliseconds."""


class _Source(NamedTuple):
    """What is known of a linked VM as a source of changes.

    Args:
        follows_store: whether it watches the replicas in the store.
        confirmed_ms: when the store last answered it.
        sequence: number of its last batch; ``None`` if one is missing.
        fetched_ms: when its replicas were last fetched.
        store_era: the era of the store that it knows.
    """

    follows_store: bool = False
    confirmed_ms: float = -math.inf
    sequence: int | None = None
    fetched_ms: float = -math.inf
    store_era: int = 0


class ReplicaExchange:
    """Sends changes of the replica registry to other VMs, and applies theirs.

    Args:
        state: shared state of the process.
        vm: name of this VM.
        is_recipient: tells whether this VM, as a relay, sends changes to another VM.
        on_changed: called after the registry has changed.
    """

    def __init__(
        self,
        state: EdgeState,
        vm: str,
        *,
        is_recipient: Callable[[str], bool],
        on_changed: Callable[[], None],
    ) -> None:
        self._state = state
        self._vm = vm
        self._is_recipient = is_recipient
        self._on_changed = on_changed
        self._relays: tuple[str, ...] = ()
        self._sources: dict[str, _Source] = {}
        self._sequence = 0
        self.network: PeerNetwork | None = None
        self.follows_store = False
        self.revision = NO_REVISION
        """Revision of the store up to which this VM has read all changes itself."""
        state.on_store_restored.append(self._forget_batches)

    @property
    def reads_store(self) -> bool:
        """Whether this VM watches the replicas in the store's newest era."""
        return self.follows_store and self.revision.era >= self._state.store_era

    def set_relays(self, vms: tuple[str, ...]) -> None:
        """Set the relays of this VM's region."""
        self._relays = vms

    @property
    def is_relay(self) -> bool:
        """Whether other VMs rely on this one to watch the replicas."""
        return self._vm in self._relays

    @property
    def _confirmation_ms_max(self) -> float:
        """Age from which a relay's last contact with the store does not count.

        If all relays are cut off, this VM still learns in time that a replica leaves.
        """
        return self._state.settings.bounds.leaving_known_ms - OWN_READ_MS

    @property
    def is_relayed(self) -> bool:
        """Whether a relay sends each change, so that no watch is needed."""
        if self.is_relay or not self._state.has_loaded_replicas:
            return False
        now = now_ms()
        return any(
            self._is_complete(vm)
            and now - self._sources[vm].confirmed_ms <= self._confirmation_ms_max
            for vm in self._relays
        )

    def publish(self, *, source: str = "") -> None:
        """Send the registry's changes since the last call to the VMs that lack them.

        A VM that is no relay sends only what it has read from the store itself.

        Args:
            source: the VM that the changes came from, empty for the store.
        """
        updates = self._state.replicas.pop_updates()
        if not updates:
            return
        self._log_changes(updates, source)
        self._on_changed()
        if self.network is None or (source and not self.is_relay):
            return
        self._sequence += 1
        batch = self._batch(updates, is_full=False)
        recipient = self._is_recipient if self.is_relay else _is_any
        self.network.broadcast(batch, skip=source, to=recipient)

    def on_heartbeat(self, vm: str, heartbeat: Heartbeat) -> None:
        """Fetch the replicas of a VM whose changes this one has to rely on."""
        now = now_ms()
        source = self._sources.get(vm, _Source())
        source = source._replace(
            follows_store=heartbeat.follows_replicas,
            confirmed_ms=now - heartbeat.tree_age_ms,
            store_era=heartbeat.store_era,
        )
        self._sources[vm] = source
        if self.network is None or not self._has_to_fetch(vm):
            return
        if now - source.fetched_ms < FETCH_TIMEOUT_MS:
            return
        fetch = ReplicaFetch(source.sequence or 0)
        if self.network.send(vm, fetch) or self.network.reply(vm, fetch):
            self._sources[vm] = source._replace(fetched_ms=now)

    def on_fetch(self, vm: str, message: Message) -> None:
        """Send all replicas to a VM that asks for them."""
        if not isinstance(message, ReplicaFetch) or self.network is None:
            return
        updates = self._state.replicas.all_updates()
        batch = self._batch(updates, is_full=True)
        if self.network.reply(vm, batch) or self.network.send(vm, batch):
            log.info("replicas_sent", extra={"peer": vm, "count": len(updates)})

    def on_batch(self, vm: str, message: Message) -> None:
        """Apply the changes, or all replicas, that another VM sent."""
        if not isinstance(message, ReplicaBatch):
            return
        if message.era:
            self._state.observe_store_era(message.era, source=vm)
        registry = self._state.replicas
        updates = [_update_of(news) for news in message.replicas]
        if message.is_full:
            revision = StoreRevision(message.era, message.revision)
            registry.apply_listing(updates, revision=revision, now_ms=now_ms())
        else:
            for update in updates:
                registry.apply_update(update)
        self._record_sequence(vm, message)
        self.publish(source=vm)

    def on_news(self, vm: str, message: Message) -> None:
        """Apply a single change that a VM of an earlier version sent."""
        if isinstance(message, ReplicaNews):
            self._state.replicas.apply_update(_update_of(message))
            self.publish(source=vm)

    def on_link_closed(self, vm: str) -> None:
        """Forget what a VM sent: changes may have been lost with the link."""
        self._sources.pop(vm, None)

    def _forget_batches(self) -> None:
        """Fetch all replicas again: batches of the era before do not count."""
        self._sources = {
            vm: source._replace(sequence=None, fetched_ms=-math.inf)
            for vm, source in self._sources.items()
        }

    def _batch(self, updates: list[ReplicaUpdate], *, is_full: bool) -> ReplicaBatch:
        revision = self.revision
        return ReplicaBatch(
            self._sequence,
            max(0, revision.number),
            is_full,
            tuple(map(_news_of, updates)),
            max(0, revision.era),
        )

    def _record_sequence(self, vm: str, batch: ReplicaBatch) -> None:
        source = self._sources.get(vm, _Source())
        if batch.era < self._state.store_era:
            self._sources[vm] = source._replace(sequence=None)
            return
        source = source._replace(store_era=max(source.store_era, batch.era))
        is_next = source.sequence is not None and batch.sequence == source.sequence + 1
        sequence = batch.sequence if batch.is_full or is_next else None
        self._sources[vm] = source._replace(sequence=sequence)

    def _is_complete(self, vm: str) -> bool:
        """Tell whether all that a VM has read from the store is known here."""
        source = self._sources.get(vm)
        return (
            source is not None and source.follows_store and source.sequence is not None
        )

    def _has_to_fetch(self, vm: str) -> bool:
        """Tell whether the replicas of a VM are to be fetched.

        They are if it is a relay of the region, or if this VM cannot follow the store
        and has no other VM that does.
        """
        source = self._sources[vm]
        if self._is_complete(vm) or not source.follows_store:
            return False
        if source.store_era < self._state.store_era:
            return False
        if vm in self._relays and not self.is_relay:
            return True
        return not self.reads_store and not any(map(self._is_complete, self._sources))

    def _log_changes(self, updates: list[ReplicaUpdate], source: str) -> None:
        records = self._state.replicas.replicas()
        draining = [record.replica_id for record in records if record.is_draining]
        log.info(
            "replicas_changed",
            extra={
                "changes": {
                    update.replica_id: update.revision.number for update in updates
                },
                "store_era": self._state.store_era,
                "source": source or "store",
                "ready_count": len(records) - len(draining),
                "draining": draining,
            },
        )


def _is_any(vm: str) -> bool:
    return True


def _news_of(update: ReplicaUpdate) -> ReplicaNews:
    record = update.record
    era, number = update.revision
    if record is None:
        return ReplicaNews(update.replica_id, number, True, era=era)
    return ReplicaNews(
        update.replica_id,
        number,
        False,
        record.service,
        record.address,
        record.zone,
        record.slots,
        record.is_draining,
        record.cold_ms,
        record.born_ms,
        era=era,
        version=record.version,
    )


_RECORD_ADAPTER: TypeAdapter[ReplicaRecord] = TypeAdapter(ReplicaRecord)


def _update_of(news: ReplicaNews) -> ReplicaUpdate:
    """Return the update that a message brings.

    A VM of an earlier version also forwards entries that cannot be used.
    """
    record = None
    revision = StoreRevision(news.era, news.revision)
    if not news.is_gone:
        fields = ReplicaRecord(
            replica_id=news.replica_id,
            service=news.service,
            address=news.address,
            zone=news.zone,
            slots=news.slots,
            is_draining=news.is_draining,
            cold_ms=news.cold_ms,
            born_ms=news.born_ms,
            version=news.version,
        )
        try:
            record = check(
                _RECORD_ADAPTER, tuple(fields), source=f"replica {news.replica_id}"
            )
        except RequestError as error:
            log.warning(
                "registration_refused",
                extra={"reason": error.message, **revision.log_fields()},
            )
    return ReplicaUpdate(news.replica_id, revision, record)

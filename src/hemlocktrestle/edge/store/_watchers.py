"""Tasks that watch the configuration and the replicas in the platform's store."""

import logging
import math
from typing import Protocol

import trio

from hemlocktrestle.edge._state import EdgeState, now_ms
from hemlocktrestle.edge.replicas._replica_exchange import ReplicaExchange
from hemlocktrestle.edge.store._store_task import StoreHealth, StoreTask
from hemlocktrestle.errors import RequestError
from hemlocktrestle.gateway import ReplicaRecord, ReplicaUpdate, StoreRevision
from hemlocktrestle.platform import (
    CONFIGURATION_KEY,
    REGISTRATIONS_PREFIX,
    Item,
    PlatformStore,
    RemovedItem,
    StoreError,
    decode_configuration,
    decode_registration,
)
from hemlocktrestle.timers import sleep_until_multiple

log = logging.getLogger(__name__)

REPLICAS_WAIT_SHARE = 0.6
"""Longest wait of one watch of the replicas, as a share of the time to know changes.

Its answer shows that the connection works: one that has gone silent hides that a
replica leaves.  The answer may come later by the rest of that time.
"""

WATCH_WAIT_MS_MIN = 250
"""Shortest such wait, in milliseconds: the store's calls are limited."""

CONFIRM_SHARE = 0.3
"""Longest wait of one watch of the configuration, as a share of the time to know it.

Its answer confirms that the configuration in force is the newest, also to the VMs
that rely on this one.  It may come later by as much: longer, and a call that is lost
as the store returns would delay a new configuration beyond that time.
"""

SLOW_FACTOR = 2
"""Factor on the time for the answer after a call without one, and at the start."""

SLOW_STORE_MS = 10_000.0
"""Time after such a call for which the store counts as slow, in milliseconds."""

RELAY_CHECK_S = 0.25
"""Time between checks whether a relay still brings the configuration, in seconds."""

BATCH_SHARE = 0.3
"""Pause before registrations are watched again, as a share of the time to know them.

The store allows so many reads a second for all VMs, so changes are batched.
"""

REFETCH_S_MIN = 0.5
REFETCH_S_MAX = 1.0
"""Range of the time that a relay has to bring the replicas of a restored store.

In seconds; VMs that it does not serve must not all read the store at once.
"""

CONFIRMATION_CHECK_S = 0.5
"""Time between checks for expired entries that have not returned, in seconds."""


class ConfigurationRelays(Protocol):
    """The VMs of the region that watch the configuration for the others."""

    @property
    def is_relayed(self) -> bool:
        """Whether a relay brings each new configuration."""
        ...


class ConfigurationWatcher(StoreTask):
    """Applies each newer configuration; never goes back to an older one.

    While a relay of the region brings each new configuration, nothing is read.

    Args:
        state: shared state of the process.
        store: the platform's store.
        health: records whether the store answers.
        relays: tells whether this VM has to watch.
    """

    name = "configuration"

    def __init__(
        self,
        state: EdgeState,
        store: PlatformStore,
        health: StoreHealth,
        *,
        relays: ConfigurationRelays,
    ) -> None:
        super().__init__(store, health)
        self._state = state
        self._relays = relays
        self._failed_ms = -math.inf

    async def _run_until_error(self) -> None:
        try:
            await self._watch()
        except StoreError:
            self._failed_ms = now_ms()
            raise

    def _answer_timeout_s(self) -> float:
        is_slow = now_ms() - self._failed_ms < SLOW_STORE_MS
        if is_slow or self._state.configuration is None:
            return self._confirm_s() * SLOW_FACTOR
        return self._confirm_s()

    def _confirm_s(self) -> float:
        bounds = self._state.settings.bounds
        wait_ms = bounds.configuration_known_ms * CONFIRM_SHARE
        return max(WATCH_WAIT_MS_MIN, wait_ms) / 1000

    async def _watch(self) -> None:
        item, revision = await self._store.get(
            CONFIGURATION_KEY, timeout_s=self._answer_timeout_s()
        )
        self._record_answer(revision.era)
        if item is not None:
            self._apply(item)
        while True:
            if self._relays.is_relayed:
                await sleep_until_multiple(RELAY_CHECK_S)
                continue
            # A relay may have brought newer ones than this watch has seen.
            after = revision.number
            known = self._state.configuration_revision
            if known.era == revision.era:
                after = max(after, known.number)
            watched = await self._store.watch(
                CONFIGURATION_KEY,
                after=after,
                wait_ms=int(self._confirm_s() * 1000),
                timeout_s=self._answer_timeout_s(),
            )
            self._record_answer(watched.revision.era)
            revision = watched.revision
            for event in watched.events:
                if isinstance(event, Item) and event.key == CONFIGURATION_KEY:
                    self._apply(event)

    def _record_answer(self, era: int) -> None:
        super()._record_answer(era)
        self._state.configuration_confirmed_ms = now_ms()

    def _apply(self, item: Item) -> None:
        apply_configuration(self._state, item.value, item.revision, source="store")


def apply_configuration(
    state: EdgeState, document: bytes, revision: StoreRevision, *, source: str
) -> bool:
    """Apply a configuration, unless it is invalid or the one in force is as new.

    A store that came back from an older copy may hold an earlier version, which is
    not applied.  The version in force, written again, is confirmed at its revision.

    Args:
        state: shared state of the process.
        document: the operator's document.
        revision: the store's revision of it.
        source: where it came from, for the log.

    Returns:
        Whether it was applied.
    """
    if revision <= state.configuration_revision:
        return False
    try:
        configuration = decode_configuration(document)
    except RequestError as error:
        log.error(
            "configuration_refused",
            extra={"reason": error.message, **revision.log_fields()},
        )
        return False
    known = state.configuration
    if known is not None and configuration.version < known.version:
        log.warning(
            "configuration_older",
            extra={
                "version": configuration.version,
                "version_in_force": known.version,
                **revision.log_fields(),
                "source": source,
            },
        )
        return False
    if known is not None and configuration.version == known.version:
        state.configuration_revision = revision
        return False
    state.configuration = configuration
    state.configuration_document = document
    state.configuration_revision = revision
    log.info(
        "configuration_taken",
        extra={
            "version": configuration.version,
            **revision.log_fields(),
            "source": source,
            "document_bytes": len(document),
            "route_count": len(configuration.routes),
            "customer_count": len(configuration.customers),
        },
    )
    state.on_configuration()
    return True


class ReplicaWatcher(StoreTask):
    """Keeps the replica registry up to date with the store.

    While a relay of the region sends each change, nothing is read.  When it no longer
    does, all replicas are read again: it may have held back a removal.

    Args:
        state: shared state of the process.
        store: the platform's store.
        health: records whether the store answers.
        exchange: sends the changes to other VMs, and tells whether to watch.
    """

    name = "replicas"

    def __init__(
        self,
        state: EdgeState,
        store: PlatformStore,
        health: StoreHealth,
        *,
        exchange: ReplicaExchange,
    ) -> None:
        super().__init__(store, health)
        self._state = state
        self._exchange = exchange

    async def drop_unconfirmed(self) -> None:
        """Drop expired entries that did not return after an outage, until cancelled."""
        while True:
            await sleep_until_multiple(CONFIRMATION_CHECK_S)
            self._state.replicas.drop_unconfirmed(now_ms())
            self._exchange.publish()

    async def _run_until_error(self) -> None:
        try:
            await self._follow()
        finally:
            self._exchange.follows_store = False

    async def _follow(self) -> None:
        page = await self._store.list(REGISTRATIONS_PREFIX)
        self._record_answer(page.revision.era)
        registry = self._state.replicas
        registry.apply_listing(
            [_decode_update(item) for item in page.items],
            revision=page.revision,
            now_ms=now_ms(),
        )
        self._state.has_loaded_replicas = True
        exchange = self._exchange
        exchange.revision = page.revision
        exchange.publish()
        while not exchange.is_relayed:
            known_within_s = self._state.settings.bounds.leaving_known_ms / 1000
            exchange.follows_store = True
            watched = await self._store.watch(
                REGISTRATIONS_PREFIX,
                after=exchange.revision.number,
                wait_ms=max(
                    WATCH_WAIT_MS_MIN, int(known_within_s * REPLICAS_WAIT_SHARE * 1000)
                ),
                timeout_s=known_within_s * (1 - REPLICAS_WAIT_SHARE),
            )
            self._record_answer(watched.revision.era)
            exchange.revision = watched.revision
            for event in watched.events:
                if isinstance(event, RemovedItem):
                    replica_id = event.key.removeprefix(REGISTRATIONS_PREFIX)
                    registry.apply_removal(replica_id, event.revision, now_ms())
                else:
                    registry.apply_update(_decode_update(event))
            exchange.publish()
            if watched.events:
                await trio.sleep(known_within_s * BATCH_SHARE)
        exchange.follows_store = False
        while exchange.is_relayed:
            era = self._health.era
            await sleep_until_multiple(RELAY_CHECK_S)
            if era != self._health.era:
                # The relay brings the replicas of the restored store in a moment.
                await trio.sleep(self._jitter.uniform(REFETCH_S_MIN, REFETCH_S_MAX))


def _decode_update(item: Item) -> ReplicaUpdate:
    replica_id = item.key.removeprefix(REGISTRATIONS_PREFIX)
    record: ReplicaRecord | None = None
    try:
        record = decode_registration(replica_id, item.value)
    except RequestError as error:
        log.warning(
            "registration_refused",
            extra={"reason": error.message, **item.revision.log_fields()},
        )
    return ReplicaUpdate(replica_id, item.revision, record)

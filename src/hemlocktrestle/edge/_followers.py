"""Tasks that follow the platform's store."""

import json
import logging
import random
from collections.abc import Callable
from typing import NamedTuple

import trio

from hemlocktrestle.edge._state import EdgeState, now_ms
from hemlocktrestle.errors import RequestError
from hemlocktrestle.gateway import ReplicaFact, ReplicaRecord
from hemlocktrestle.platform import (
    CONFIGURATION_KEY,
    REGISTRATIONS_PREFIX,
    Item,
    PlatformStore,
    Removed,
    StoreError,
    StoreErrorKind,
    decode_configuration,
    decode_registration,
)

log = logging.getLogger(__name__)

WATCH_MS = 20_000
"""How long a watch may wait at the store, in milliseconds; the store allows 30 s."""

GATHER_S = 0.8
"""Pause before registrations are watched again, in seconds.

Each watch that returns is paid for; changes gather for this long, well within the
time in which a leaving replica must be known.
"""

RETRY_S_MIN = 0.2
RETRY_S_MAX = 0.8
"""Pause before a failed call to the store is repeated, in seconds.

News must be in force a few seconds after the store's return, and calls to a store
that is down are paid for too.
"""


class StoreHealth:
    """Whether the store answers; tells the replica book of its loss and return.

    Args:
        state: what the process believes.
    """

    def __init__(self, state: EdgeState) -> None:
        self._state = state
        self.is_lost = False
        self.lost_count = 0

    def failed(self, caller: str, error: StoreError) -> None:
        """Note a call that brought no result."""
        if not self.is_lost:
            self.is_lost = True
            self.lost_count += 1
            log.warning("store_lost", extra={"caller": caller, "reason": str(error)})
        self._state.replicas.store_lost()

    def answered(self, caller: str) -> None:
        """Note a call that was answered."""
        if self.is_lost:
            self.is_lost = False
            log.info("store_back", extra={"caller": caller})
        self._state.replicas.store_returned(now_ms())


_ANSWERED = frozenset({StoreErrorKind.HISTORY_LOST, StoreErrorKind.LEASE_ENDED})
"""Failures that show a store that answers."""


class _Follower:
    """Repeats a task whenever the store fails it."""

    name = ""

    def __init__(self, store: PlatformStore, health: StoreHealth) -> None:
        self.is_over = False
        self._store = store
        self._health = health
        self._jitter = random.Random()

    async def run(self) -> None:
        """Follow until cancelled, or until there is nothing left to follow."""
        while not self.is_over:
            try:
                await self._follow()
            except StoreError as error:
                if error.kind in _ANSWERED:
                    # The store is well; what was known of it is not.
                    log.info(
                        "store_followed_anew",
                        extra={"caller": self.name, "reason": str(error)},
                    )
                    continue
                self._health.failed(self.name, error)
                await trio.sleep(self._jitter.uniform(RETRY_S_MIN, RETRY_S_MAX))

    async def _follow(self) -> None:
        raise NotImplementedError


class ConfigurationFollower(_Follower):
    """Keeps the newest configuration in force; never goes back.

    Args:
        state: what the process believes.
        store: the platform's store.
        health: told whether the store answers.
    """

    name = "configuration"

    def __init__(
        self, state: EdgeState, store: PlatformStore, health: StoreHealth
    ) -> None:
        super().__init__(store, health)
        self._state = state

    async def _follow(self) -> None:
        item, revision = await self._store.get(CONFIGURATION_KEY)
        self._health.answered(self.name)
        if item is not None:
            self._take(item)
        while True:
            watched = await self._store.watch(
                CONFIGURATION_KEY, after=revision, wait_ms=WATCH_MS
            )
            self._health.answered(self.name)
            revision = watched.revision
            for event in watched.events:
                if isinstance(event, Item) and event.key == CONFIGURATION_KEY:
                    self._take(event)

    def _take(self, item: Item) -> None:
        take_configuration(self._state, item.value, item.revision, source="store")


def take_configuration(
    state: EdgeState, document: bytes, revision: int, *, source: str
) -> bool:
    """Put a configuration in force, unless a newer one is.

    Args:
        state: what the process believes.
        document: the operator's document.
        revision: the store's revision of it.
        source: who told of it, for the log.

    Returns:
        Whether it is in force from now on.
    """
    if revision <= state.configuration_revision:
        return False
    try:
        configuration = decode_configuration(document)
    except RequestError as error:
        log.error(
            "configuration_refused",
            extra={"reason": error.message, "store_revision": revision},
        )
        return False
    known = state.configuration
    if known is not None and configuration.version <= known.version:
        return False
    state.configuration = configuration
    state.configuration_document = document
    state.configuration_revision = revision
    log.info(
        "configuration_taken",
        extra={
            "version": configuration.version,
            "store_revision": revision,
            "source": source,
            "route_count": len(configuration.routes),
            "customer_count": len(configuration.customers),
        },
    )
    state.tell_configuration()
    return True


class ReplicaFollower(_Follower):
    """Keeps the book of replicas.

    Args:
        state: what the process believes.
        store: the platform's store.
        health: told whether the store answers.
        on_change: called after the book may have changed.
    """

    name = "replicas"

    def __init__(
        self,
        state: EdgeState,
        store: PlatformStore,
        health: StoreHealth,
        *,
        on_change: Callable[[], None],
    ) -> None:
        super().__init__(store, health)
        self._state = state
        self._on_change = on_change

    async def settle(self) -> None:
        """Drop entries that did not come back, until cancelled."""
        while True:
            await trio.sleep(GATHER_S / 2)
            self._state.replicas.settle(now_ms())
            self._on_change()

    async def _follow(self) -> None:
        page = await self._store.list(REGISTRATIONS_PREFIX)
        self._health.answered(self.name)
        book = self._state.replicas
        book.listed(
            [_fact(item) for item in page.items],
            revision=page.revision,
            now_ms=now_ms(),
        )
        self._state.has_replicas = True
        self._on_change()
        revision = page.revision
        while True:
            watched = await self._store.watch(
                REGISTRATIONS_PREFIX, after=revision, wait_ms=WATCH_MS
            )
            self._health.answered(self.name)
            revision = watched.revision
            for event in watched.events:
                if isinstance(event, Removed):
                    replica_id = event.key.removeprefix(REGISTRATIONS_PREFIX)
                    book.removed(replica_id, event.revision, now_ms())
                else:
                    book.put(_fact(event))
            self._on_change()
            await trio.sleep(GATHER_S)


def _fact(item: Item) -> ReplicaFact:
    replica_id = item.key.removeprefix(REGISTRATIONS_PREFIX)
    record: ReplicaRecord | None = None
    try:
        record = decode_registration(replica_id, item.value)
    except RequestError as error:
        log.warning(
            "registration_refused",
            extra={"reason": error.message, "store_revision": item.revision},
        )
    return ReplicaFact(replica_id, item.revision, record)


OWN_PREFIX = "hemlocktrestle/"
"""Start of all keys that the system writes."""

VM_PREFIX = OWN_PREFIX + "vms/"
"""Start of the keys under which the VMs of the system register."""

BUSY_PREFIX = OWN_PREFIX + "busy/"
"""Start of the keys under which keepers note customers that use their quotas up."""

BUSY_CHECK_S = 1.0
"""Time between looks for busy customers, in seconds.

A note is written only while there are any, and lapses by itself.
"""

VM_LEASE_MS = 10_000
"""Life of a VM's entry without renewal, in milliseconds."""

VM_RENEW_S = 3.0
"""Time between renewals of a VM's entry, in seconds: three tries fit its life."""


class VmEntry(NamedTuple):
    """One VM as it registered itself."""

    vm: str
    zone: str
    region: str
    address: str
    boot_id: str


class VmRegistrar(_Follower):
    """Registers this VM in the store and reads who else is there.

    Args:
        entry: this VM.
        store: the platform's store.
        health: told whether the store answers.
        on_vms: called with all VMs that are registered.
        on_busy: called with the customers that are noted as busy.
    """

    name = "vms"

    def __init__(
        self,
        entry: VmEntry,
        store: PlatformStore,
        health: StoreHealth,
        *,
        on_vms: Callable[[list[VmEntry]], None],
        on_busy: Callable[[set[str]], None],
    ) -> None:
        super().__init__(store, health)
        self._entry = entry
        self._on_vms = on_vms
        self._on_busy = on_busy
        self._lease = 0

    async def leave(self) -> None:
        """Remove this VM's entry for good."""
        self.is_over = True
        try:
            await self._store.end_lease(self._lease)
        except StoreError as error:
            # The entry goes by itself when its lease runs out.
            log.info("vm_entry_left", extra={"reason": str(error)})

    async def _follow(self) -> None:
        self._lease = await self._store.grant_lease(VM_LEASE_MS)
        value = json.dumps(self._entry._asdict()).encode()
        await self._store.put(VM_PREFIX + self._entry.vm, value, lease=self._lease)
        # The first look must show this VM, so that none counts itself alone.
        await self._look(is_stale_fine=False)
        while True:
            await trio.sleep(self._jitter.uniform(0.8, 1.2) * VM_RENEW_S)
            if self.is_over:
                return
            await self._store.renew_lease(self._lease)
            await self._look(is_stale_fine=True)

    async def _look(self, *, is_stale_fine: bool) -> None:
        page = await self._store.list(OWN_PREFIX, is_stale_fine=is_stale_fine)
        self._health.answered(self.name)
        entries = []
        busy: set[str] = set()
        for item in page.items:
            try:
                if item.key.startswith(VM_PREFIX):
                    entries.append(VmEntry(**json.loads(item.value)))
                elif item.key.startswith(BUSY_PREFIX):
                    busy.update(json.loads(item.value))
            except (ValueError, TypeError) as error:
                log.warning(
                    "own_entry_refused", extra={"key": item.key, "reason": str(error)}
                )
        self._on_busy(busy)
        self._on_vms(entries)


class BusyRecorder(_Follower):
    """Notes in the store which customers use their quotas up.

    Processes that start later take it into account; without a note they assume
    less.

    Args:
        region: the region whose customers are noted.
        store: the platform's store.
        health: told whether the store answers.
        busy: returns the customers to note; none if another VM does it.
        window_ms: how long a note counts, in milliseconds.
    """

    name = "busy"

    def __init__(
        self,
        region: str,
        store: PlatformStore,
        health: StoreHealth,
        *,
        busy: Callable[[], set[str]],
        window_ms: float,
    ) -> None:
        super().__init__(store, health)
        self._key = BUSY_PREFIX + region
        self._busy = busy
        self._window_ms = window_ms

    async def _follow(self) -> None:
        lease = 0
        granted_ms = 0.0
        while True:
            await trio.sleep(BUSY_CHECK_S)
            customers = self._busy()
            if not customers:
                continue
            # A lease outlives the note by a window, so that each note counts long
            # enough.
            if now_ms() - granted_ms > self._window_ms:
                lease = await self._store.grant_lease(int(2 * self._window_ms))
                granted_ms = now_ms()
            value = json.dumps(sorted(customers)).encode()
            await self._store.put(self._key, value, lease=lease)
            self._health.answered(self.name)

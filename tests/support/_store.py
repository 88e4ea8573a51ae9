"""An in-memory store behind the port, with faults at chosen calls."""

from collections.abc import AsyncIterator, Callable, Sequence
from contextlib import asynccontextmanager
from enum import Enum

import trio

from hemlocktrestle.errors import ErrorKind, RequestError
from hemlocktrestle.ports import (
    Compare,
    KeyValue,
    Put,
    Snapshot,
    TxnResult,
    WatchBatch,
)
from tests.support._steps import Steps

ANSWER_S = 0.002
TIMEOUT_S = 2.0
PROGRESS_S = 1.0


class StoreFault(Enum):
    """The fault that is injected into one call."""

    NONE = "none"
    LOST_CALL = "lost call"
    LOST_ANSWER = "lost answer"


def _no_fault(call: str, number: int) -> StoreFault:
    return StoreFault.NONE


class FakeStore:
    """Keys, leases and watches in memory.

    ``fault`` returns the fault of each call, given its name and sequence number;
    while ``is_down`` every call fails.
    """

    def __init__(self) -> None:
        self.revision = 1
        self.items: dict[str, KeyValue] = {}
        self.events: list[KeyValue] = []
        self.fault: Callable[[str, int], StoreFault] = _no_fault
        self.is_down = False
        self.steps = Steps()
        self.calls: list[str] = []
        self._changed = trio.Event()
        self._lease_ends: dict[int, tuple[float, float]] = {}
        self._lease_keys: dict[str, int] = {}

    async def read(self, prefix: str, *, is_prefix: bool = False) -> Snapshot:
        """Read one key, or all keys with a prefix."""
        fault = await self._begin_call("read")
        self._expire()
        found = tuple(
            item
            for key, item in sorted(self.items.items())
            if (key.startswith(prefix) if is_prefix else key == prefix)
        )
        await self._end_call(fault)
        return Snapshot(self.revision, found)

    async def read_page(
        self, prefix: str, *, after: str = "", limit_count: int
    ) -> Snapshot:
        """Read the first keys with a prefix that come after a key."""
        snapshot = await self.read(prefix, is_prefix=True)
        items = tuple(item for item in snapshot.items if item.key > after)
        return snapshot._replace(items=items[:limit_count])

    async def write(
        self, compares: Sequence[Compare], puts: Sequence[Put]
    ) -> TxnResult:
        """Apply all writes if all conditions hold."""
        fault = await self._begin_call("write")
        self._expire()
        holds = all(
            compare.mod_revision
            == (
                self.items[compare.key].mod_revision if compare.key in self.items else 0
            )
            for compare in compares
        )
        found: tuple[KeyValue, ...] = ()
        if holds:
            self.revision += 1
            for put in puts:
                self._put(put)
            self._notify_watches()
        else:
            found = tuple(
                self.items[compare.key]
                for compare in compares
                if compare.key in self.items
            )
        await self._end_call(fault)
        return TxnResult(holds, self.revision, found)

    @asynccontextmanager
    async def watch(
        self, prefix: str, *, from_revision: int
    ) -> AsyncIterator[AsyncIterator[WatchBatch]]:
        """Watch the writes to keys with a prefix."""
        await self._begin_call("watch")
        yield self._batches(prefix, from_revision)

    async def grant_lease(self, ttl_s: int) -> int:
        """Create a lease."""
        fault = await self._begin_call("grant")
        lease_id = len(self._lease_ends) + 1
        self._lease_ends[lease_id] = (ttl_s, trio.current_time() + ttl_s)
        await self._end_call(fault)
        return lease_id

    async def renew_lease(self, lease_id: int) -> bool:
        """Renew a lease; ``False`` if it has expired."""
        fault = await self._begin_call("renew")
        self._expire()
        lease = self._lease_ends.get(lease_id)
        if lease is not None:
            self._lease_ends[lease_id] = (lease[0], trio.current_time() + lease[0])
        await self._end_call(fault)
        return lease is not None

    def lease_ttl_s(self, lease_id: int) -> float:
        """Return the time to live of a lease, as it was granted."""
        return self._lease_ends[lease_id][0]

    def set_down(self, is_down: bool) -> None:
        """Start or end an outage."""
        self.is_down = is_down
        self._notify_watches()

    def restore(self, revision: int, items: dict[str, KeyValue]) -> None:
        """Replace all keys by an older copy, and drop the history."""
        self.revision = revision
        self.items = dict(items)
        self.events.clear()
        self._notify_watches()

    async def _batches(
        self, prefix: str, from_revision: int
    ) -> AsyncIterator[WatchBatch]:
        seen = from_revision - 1
        while True:
            if self.is_down:
                raise _unavailable()
            changed = self._changed
            items = tuple(
                event
                for event in self.events
                if event.mod_revision > seen and event.key.startswith(prefix)
            )
            seen = max(seen, self.revision)
            yield WatchBatch(self.revision, items)
            with trio.move_on_after(PROGRESS_S):
                await changed.wait()

    async def _begin_call(self, call: str) -> StoreFault:
        self.calls.append(call)
        await self.steps.reach(f"store {call} asked")
        fault = self.fault(call, len(self.calls))
        await trio.sleep(ANSWER_S)
        if self.is_down or fault is StoreFault.LOST_CALL:
            await trio.sleep(TIMEOUT_S)
            raise _unavailable()
        return fault

    async def _end_call(self, fault: StoreFault) -> None:
        await self.steps.reach("store call done")
        if self.is_down or fault is StoreFault.LOST_ANSWER:
            await trio.sleep(TIMEOUT_S)
            raise _unavailable()
        await trio.sleep(ANSWER_S)

    def _put(self, put: Put) -> None:
        if put.value is None:
            if self.items.pop(put.key, None) is not None:
                self.events.append(KeyValue(put.key, b"", self.revision))
            return
        item = KeyValue(put.key, put.value, self.revision)
        self.items[put.key] = item
        self.events.append(item)
        self._lease_keys[put.key] = put.lease_id

    def _expire(self) -> None:
        now = trio.current_time()
        lapsed = {name for name, (_, end) in self._lease_ends.items() if end <= now}
        for lease_id in lapsed:
            del self._lease_ends[lease_id]
        for key in [key for key, name in self._lease_keys.items() if name in lapsed]:
            self.revision += 1
            self._put(Put(key, None))
            del self._lease_keys[key]

    def _notify_watches(self) -> None:
        self._changed.set()
        self._changed = trio.Event()


def _unavailable() -> RequestError:
    return RequestError(ErrorKind.STORE_UNAVAILABLE, "store gave no answer")

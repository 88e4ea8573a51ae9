"""Tests of the client of the platform's store, against a stand-in."""

import copy
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any

import httpcore
import trio
import trio.testing

from hemlocktrestle.platform import (
    Item,
    Page,
    PlatformStore,
    RemovedItem,
    StoreError,
    StoreErrorKind,
    WatchResult,
)
from tests.gateway.records import at
from tests.odd_values import NESTED, ODD_NUMBERS
from tests.standins.platform_store import PlatformStoreStandIn
from tests.support import TrioTestCase


class MemoryBackend(httpcore.AsyncNetworkBackend):
    """Connects to a stand-in in this process over in-memory streams."""

    def __init__(self, store: PlatformStoreStandIn, nursery: trio.Nursery) -> None:
        self._store = store
        self._nursery = nursery
        self._streams: list[_MemoryStream] = []

    def silence(self) -> None:
        """Let the open connections go silent for good; new ones work."""
        for stream in self._streams:
            stream.is_silent = True

    async def connect_tcp(
        self, host: str, port: int, *args: object, **options: object
    ) -> httpcore.AsyncNetworkStream:
        """Open a connection."""
        ours, theirs = trio.testing.memory_stream_pair()
        self._nursery.start_soon(self._store.serve, theirs)
        self._streams.append(_MemoryStream(ours))
        return self._streams[-1]


class _MemoryStream(httpcore.AsyncNetworkStream):
    def __init__(self, stream: trio.abc.Stream) -> None:
        self._stream = stream
        self.is_silent = False

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        with trio.move_on_after(timeout or float("inf")):
            data = bytes(await self._stream.receive_some(max_bytes))
            if self.is_silent:
                await trio.sleep_forever()
            return data
        raise httpcore.ReadTimeout

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        await self._stream.send_all(buffer)

    async def aclose(self) -> None:
        await self._stream.aclose()

    def get_extra_info(self, info: str) -> object:
        return None


class StoreTests(TrioTestCase):
    """Each call returns its result or raises an error with the right kind."""

    async def run_with(
        self, check: Callable[[PlatformStoreStandIn, PlatformStore], Awaitable[None]]
    ) -> None:
        """Run a check against a stand-in of the store."""
        standin = PlatformStoreStandIn()
        async with trio.open_nursery() as nursery:
            client = PlatformStore(
                "10.0.0.1:80", backend=MemoryBackend(standin, nursery)
            )
            async with client:
                await check(standin, client)
            nursery.cancel_scope.cancel()

    async def kind_of(self, call: Awaitable[object]) -> StoreErrorKind | None:
        """Return the kind of a call's error, ``None`` if it succeeds."""
        try:
            await call
        except StoreError as error:
            return error.kind
        return None

    async def test_keys_are_read(self) -> None:
        """An absent key gives no item and no error."""

        async def check(standin: PlatformStoreStandIn, client: PlatformStore) -> None:
            revision = standin.put("op/config", b"\x00\xff")
            item, found_at = await client.get("op/config")
            self.assertEqual(Item("op/config", b"\x00\xff", at(revision)), item)
            self.assertEqual(at(revision), found_at)
            self.assertEqual((None, at(revision)), await client.get("op/other"))

        await self.run_with(check)

    async def test_all_pages_of_a_range_are_read(self) -> None:
        """The revision is that of the first page, from which a watch continues."""

        async def check(standin: PlatformStoreStandIn, client: PlatformStore) -> None:
            for number in range(8):
                standin.put(f"servers/{number}", b"x")
            standin.put("other/1", b"x")
            page = await client.list("servers/")
            self.assertEqual(8, len(page.items))
            self.assertEqual(at(standin.revision), page.revision)

        await self.run_with(check)

    async def test_a_watch_returns_writes_and_removals(self) -> None:
        """Writes and removals are returned in the order of their revisions."""

        async def check(standin: PlatformStoreStandIn, client: PlatformStore) -> None:
            start = standin.revision
            first = standin.put("servers/a", b"1")
            standin.remove("servers/a")
            seen = await client.watch("servers/", after=start, wait_ms=1_000)
            removed = RemovedItem("servers/a", at(first + 1))
            self.assertEqual((Item("servers/a", b"1", at(first)), removed), seen.events)
            quiet = await client.watch(
                "servers/", after=seen.revision.number, wait_ms=500
            )
            self.assertEqual(((), seen.revision), quiet)

        await self.run_with(check)

    async def test_a_lease_that_ends_removes_its_keys(self) -> None:
        """Renewing it then fails."""

        async def check(standin: PlatformStoreStandIn, client: PlatformStore) -> None:
            lease, _ = await client.grant_lease(10_000)
            await client.put("vms/a", b"x", lease=lease)
            await client.renew_lease(lease)
            standin.end_lease(lease)
            self.assertEqual({}, standin.entries)
            kind = await self.kind_of(client.renew_lease(lease))
            self.assertEqual(StoreErrorKind.LEASE_ENDED, kind)

        await self.run_with(check)

    async def test_a_key_is_removed_unless_it_was_written_again(self) -> None:
        """The entry of a later holder is left alone."""

        async def check(standin: PlatformStoreStandIn, client: PlatformStore) -> None:
            first = await client.put("vms/a", b"1")
            second = await client.put("vms/a", b"2")
            kind = await self.kind_of(client.delete("vms/a", revision=first))
            self.assertEqual(StoreErrorKind.CONDITION_FAILED, kind)
            self.assertIn("vms/a", standin.entries)
            await client.delete("vms/a", revision=second)
            self.assertEqual({}, standin.entries)

        await self.run_with(check)

    async def test_the_era_of_an_answer_goes_with_what_it_says(self) -> None:
        """So it does with an error; without the header it is 0."""

        async def check(standin: PlatformStoreStandIn, client: PlatformStore) -> None:
            copy_before = standin.copy()
            standin.put("servers/a", b"1")
            standin.restore(copy_before)
            number = standin.put("servers/a", b"2")
            now = at(number, era=1)
            item = Item("servers/a", b"2", now)
            self.assertEqual((item, now), await client.get("servers/a"))
            self.assertEqual(Page((item,), now), await client.list("servers/"))
            seen = await client.watch("servers/", after=number - 1, wait_ms=100)
            self.assertEqual(WatchResult((item,), now), seen)
            self.assertEqual(1, (await client.put("a", b"")).era)
            lease = await client.grant_lease(1_000)
            self.assertEqual(1, lease.era)
            self.assertEqual(1, await client.renew_lease(lease.lease_id))
            try:
                await client.renew_lease(1)
            except StoreError as error:
                self.assertEqual(1, error.era)
            for era in ("x", "-1", "9" * 19, "1.5"):
                standin.era_text = era
                kind = await self.kind_of(client.list("servers/"))
                self.assertEqual(StoreErrorKind.MALFORMED, kind, era)

        await self.run_with(check)

    async def test_pages_of_several_eras_are_no_listing(self) -> None:
        """Guards against a listing of which half was lost meanwhile."""

        async def check(standin: PlatformStoreStandIn, client: PlatformStore) -> None:
            for number in range(8):
                standin.put(f"servers/{number}", b"x")
            saved = standin.copy()

            def restore_once(answer: Any) -> Any:
                standin.on_answer = lambda document: document
                trio.lowlevel.current_trio_token().run_sync_soon(standin.restore, saved)
                return answer

            standin.on_answer = restore_once
            kind = await self.kind_of(client.list("servers/"))
            self.assertEqual(StoreErrorKind.RESTORED, kind)

        await self.run_with(check)

    async def test_each_failure_has_its_kind(self) -> None:
        """Each failure maps to a kind; a write without an answer may take effect."""

        async def check(standin: PlatformStoreStandIn, client: PlatformStore) -> None:
            kinds = {
                503: StoreErrorKind.REFUSED,
                429: StoreErrorKind.THROTTLED,
                410: StoreErrorKind.HISTORY_LOST,
                500: StoreErrorKind.MALFORMED,
            }
            for status, kind in kinds.items():
                standin.status = status
                self.assertEqual(kind, await self.kind_of(client.list("x")))
            standin.status = 0
            standin.lose_answers = 1
            lost = await self.kind_of(client.put("a", b"1"))
            self.assertEqual(StoreErrorKind.UNREACHABLE, lost)
            self.assertIn("a", standin.entries)
            standin.garbage = True
            self.assertEqual(
                StoreErrorKind.MALFORMED, await self.kind_of(client.list("x"))
            )

        await self.run_with(check)

    async def test_a_call_to_a_silent_store_times_out(self) -> None:
        """A call to a silent store times out; the next one uses a new connection."""

        async def check(standin: PlatformStoreStandIn, client: PlatformStore) -> None:
            standin.silent = True
            started = trio.current_time()
            kind = await self.kind_of(client.list("x"))
            self.assertEqual(StoreErrorKind.UNREACHABLE, kind)
            self.assertTrue(trio.current_time() - started < 3)
            standin.silent = False
            self.assertIsNone(await self.kind_of(client.list("x")))

        await self.run_with(check)

    async def test_an_odd_item_hides_no_other(self) -> None:
        """Guards against one item of a page, or of a watch, that ends its reader."""
        odd: tuple[Any, ...] = (
            7,
            None,
            [],
            {},
            {"key": 7, "value": "", "revision": 1},
            {"key": "servers/x", "value": "", "revision": 10**30},
            {"key": "servers/x", "value": "", "revision": -1},
            NESTED,
        )

        async def check(standin: PlatformStoreStandIn, client: PlatformStore) -> None:
            start = standin.revision
            for number in range(5):
                standin.put(f"servers/{number}", b"x")
            for item in odd:
                standin.on_answer = partial(_with_first, item)
                page = await client.list("servers/")
                self.assertEqual(5, len(page.items), repr(item))
                seen = await client.watch("servers/", after=start, wait_ms=1_000)
                self.assertEqual(5, len(seen.events), repr(item))

        await self.run_with(check)

    async def test_a_value_that_cannot_be_decoded_is_empty(self) -> None:
        """The item is there, with a value that no reader takes for a document."""

        async def check(standin: PlatformStoreStandIn, client: PlatformStore) -> None:
            values: tuple[Any, ...] = ("A", "\u00e9", 7, None, [], NESTED)
            for value in values:
                item = {"key": "servers/a", "value": value, "revision": 7}
                standin.on_answer = partial(_with_first, item)
                page = await client.list("servers/")
                self.assertEqual(
                    (Item("servers/a", b"", at(7)),), page.items, repr(value)
                )

        await self.run_with(check)

    async def test_an_odd_answer_is_malformed(self) -> None:
        """Guards against an answer of another form that ends the caller's task."""
        odd: tuple[Any, ...] = (
            7,
            [],
            NESTED,
            None,
            *({"currentRev": number, "items": []} for number in ODD_NUMBERS[:10]),
            {"currentRev": 1, "items": 7},
            {"currentRev": 1, "items": [7], "hasMore": True},
            {"items": []},
        )

        async def check(standin: PlatformStoreStandIn, client: PlatformStore) -> None:
            calls: tuple[Callable[[], Awaitable[object]], ...] = (
                lambda: client.list("servers/"),
                lambda: client.watch("servers/", after=1, wait_ms=100),
                lambda: client.put("a", b"1"),
                lambda: client.grant_lease(1_000),
            )
            for answer in odd:
                standin.on_answer = partial(_instead, answer)
                for call in calls:
                    kind = await self.kind_of(call())
                    self.assertEqual(StoreErrorKind.MALFORMED, kind, repr(answer)[:80])

        await self.run_with(check)

    async def test_a_page_that_repeats_itself_is_malformed(self) -> None:
        """Guards against a listing that never ends."""

        async def check(standin: PlatformStoreStandIn, client: PlatformStore) -> None:
            item = {"key": "servers/a", "value": "", "revision": 7}
            standin.on_answer = lambda _: {
                "items": [item],
                "hasMore": True,
                "currentRev": 9,
            }
            with trio.fail_after(5):
                kind = await self.kind_of(client.list("servers/"))
            self.assertEqual(StoreErrorKind.MALFORMED, kind)

        await self.run_with(check)


def _with_first(item: Any, answer: dict[str, Any]) -> dict[str, Any]:
    """Return an answer with an item before the others."""
    found = copy.deepcopy(answer)
    for name in {"items", "events"} & found.keys():
        found[name].insert(0, item)
    return found


def _instead(wanted: Any, answer: Any) -> Any:
    """Return the wanted answer whatever the store's own is."""
    return wanted

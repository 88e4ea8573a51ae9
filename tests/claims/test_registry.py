"""Tests of opening, closing and settling claims."""

import itertools
from collections.abc import Callable

import trio

from hemlocktrestle.claims import (
    ANSWER_BYTES_MAX,
    ClaimRegistry,
    OpenClaim,
    RecordedAnswer,
    claim_from_json,
    claim_key,
    claim_to_json,
    list_claims,
    settle_claim,
)
from hemlocktrestle.claims._registry import LEASE_SHARED_MS, RETENTION_S
from hemlocktrestle.errors import ErrorKind, RequestError
from tests.support import FakeStore, TrioTestCase
from tests.support._store import StoreFault

WHERE = claim_key("clinics", "k")
ANSWER = RecordedAnswer(201, (("x", "y"),), b"done")


class BookCase(TrioTestCase):
    """A book of claims over a store in memory."""

    def setUp(self) -> None:
        """Make the book; its wall clock can be set."""
        super().setUp()
        self.store = FakeStore()
        self.skipped_ms = 0
        ids = itertools.count()
        self.book = ClaimRegistry(
            self.store,
            writer="v1/b1",
            new_id=lambda: f"a{next(ids)}",
            wall_ms=self.wall_ms,
        )

    def wall_ms(self) -> int:
        """Return virtual time plus what the clock skipped."""
        return int(trio.current_time() * 1000) + self.skipped_ms

    async def open(self, fingerprint: str = "f") -> OpenClaim:
        """Open the claim; it must be free."""
        held = await self.book.open(
            "clinics", "k", fingerprint=fingerprint, request_id="r", run_ms=1_000
        )
        assert isinstance(held, OpenClaim)
        return held

    async def kind_of_open(self, fingerprint: str = "f") -> ErrorKind | None:
        """Return how opening the claim fails."""
        try:
            await self.open(fingerprint)
        except RequestError as error:
            return error.kind
        return None

    async def settle(self, *, is_run: bool) -> ErrorKind | None:
        """Settle the claim; return how that fails."""
        try:
            await settle_claim(
                self.store, WHERE, has_run=is_run, wall_ms=self.wall_ms()
            )
        except RequestError as error:
            return error.kind
        return None


class ClaimBookTests(BookCase):
    """A claim lets one writer run, and remembers how it ended."""

    async def test_a_recorded_answer_comes_back_as_it_was(self) -> None:
        """Status, headers and body survive the store."""
        await self.book.finish(await self.open(), ANSWER)
        again = await self.book.open(
            "clinics", "k", fingerprint="f", request_id="r2", run_ms=1_000
        )
        self.assertEqual(ANSWER, again)

    async def test_an_answer_too_large_is_not_kept(self) -> None:
        """The claim still says that the work ran."""
        body = b"x" * (ANSWER_BYTES_MAX + 1)
        await self.book.finish(await self.open(), ANSWER._replace(body=body))
        self.assertIs(ErrorKind.ANSWER_NOT_KEPT, await self.kind_of_open())

    async def test_another_body_is_told_so(self) -> None:
        """A key stands for one piece of work."""
        await self.open()
        self.assertIs(ErrorKind.KEY_REUSED, await self.kind_of_open("g"))

    async def test_a_claim_left_open_turns_from_running_to_unknown(self) -> None:
        """Once its writer can no longer dispatch, it is not "in progress"."""
        await self.open()
        self.assertIs(ErrorKind.KEY_IN_PROGRESS, await self.kind_of_open())
        await trio.sleep(62)
        self.assertIs(ErrorKind.KEY_UNVOUCHED, await self.kind_of_open())

    async def test_a_writer_whose_clock_jumped_may_not_run(self) -> None:
        """A VM that was suspended finds the time to run over, by the wall clock."""
        held = await self.open()
        self.book.check_runnable(held)
        self.skipped_ms = 2_000
        with self.assertRaises(RequestError):
            self.book.check_runnable(held)

    async def test_an_unreadable_claim_is_unknown(self) -> None:
        """What cannot be read may have run."""
        held = await self.open()
        item = self.store.items[held.key]
        self.store.items[held.key] = item._replace(value=b"{")
        self.assertIs(ErrorKind.KEY_UNVOUCHED, await self.kind_of_open())

    async def test_claims_share_a_lease_for_an_hour_and_are_kept_long(self) -> None:
        """One lease is granted for each hour, and outlives each by the retention."""
        for _ in range(3):
            await self.book.drop(await self.open())
        self.skipped_ms = LEASE_SHARED_MS
        held = await self.open()
        self.assertEqual(2, self.store.calls.count("grant"))
        self.assertEqual(2, held.claim.lease_id)
        self.assertEqual(
            RETENTION_S + LEASE_SHARED_MS // 1000, self.store.lease_ttl_s(2)
        )

    async def test_what_could_not_be_recorded_is_recorded_later(self) -> None:
        """An outage at the end costs nothing but time."""
        held = await self.open()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.book.repairs.run)
            self.store.set_down(True)
            await self.book.finish(held, ANSWER)
            await trio.sleep(20)
            self.assertEqual(1, self.book.repairs.waiting_count)
            self.store.set_down(False)
            await self.book.repairs.emptied()
            nursery.cancel_scope.cancel()
        standing = claim_from_json(self.store.items[WHERE].value)
        self.assertEqual(ANSWER, standing.answer)

    async def test_a_late_repair_leaves_a_newer_claim_alone(self) -> None:
        """A drop that comes late does not remove what stands there by then."""
        held = await self.open()
        await self.book.drop(held)
        newer = await self.open()
        await self.book.drop(held)
        standing = claim_from_json(self.store.items[WHERE].value)
        self.assertEqual(newer.claim.attempt, standing.attempt)

    async def test_a_claim_that_appears_late_is_dropped(self) -> None:
        """Write and readback were lost; the write takes effect after that."""
        self.store.fault = lambda call, number: (
            StoreFault.LOST_CALL if call != "grant" else StoreFault.NONE
        )
        self.assertIs(ErrorKind.CLAIM_UNAVAILABLE, await self.kind_of_open())
        self.store.fault = lambda call, number: StoreFault.NONE
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.book.repairs.run)
            other = ClaimRegistry(
                self.store, writer="v1/b1", new_id=lambda: "a0", wall_ms=self.wall_ms
            )
            late = await other.open(
                "clinics", "k", fingerprint="f", request_id="r", run_ms=1_000
            )
            assert isinstance(late, OpenClaim)
            await self.book.repairs.emptied()
            nursery.cancel_scope.cancel()
        self.assertNotIn(WHERE, self.store.items)


class SettleTests(BookCase):
    """Operators close claims of unknown outcome, and no others."""

    async def test_settled_as_run_it_is_never_run_again(self) -> None:
        """Resends learn that it ran."""
        await self.book.mark_unknown(await self.open())
        self.assertIsNone(await self.settle(is_run=True))
        self.assertIs(ErrorKind.ANSWER_NOT_KEPT, await self.kind_of_open())

    async def test_settled_as_not_run_the_key_is_free(self) -> None:
        """A resend may run."""
        await self.book.mark_unknown(await self.open())
        self.assertIsNone(await self.settle(is_run=False))
        self.assertIsNone(await self.kind_of_open())

    async def test_what_may_run_or_is_closed_is_not_settled(self) -> None:
        """Too early, too late, and nothing there are told apart."""
        self.assertIs(ErrorKind.SETTINGS_INVALID, await self.settle(is_run=False))
        held = await self.open()
        self.assertIs(ErrorKind.KEY_IN_PROGRESS, await self.settle(is_run=False))
        await self.book.finish(held, ANSWER)
        self.assertIs(ErrorKind.SETTINGS_CONFLICT, await self.settle(is_run=False))

    async def test_a_lost_answer_is_settled_by_reading(self) -> None:
        """The operator is told that reading showed it."""
        for is_run in (True, False):
            await self.book.mark_unknown(await self.open())
            self.store.fault = _lost_answer_at(len(self.store.calls) + 2)
            is_by_reading = await settle_claim(
                self.store, WHERE, has_run=is_run, wall_ms=self.wall_ms()
            )
            self.assertTrue(is_by_reading)
            self.store.items.pop(WHERE, None)

    async def test_a_customers_claims_are_listed(self) -> None:
        """Only those of the customer, with what an operator needs."""
        held = await self.open()
        listed = await list_claims(self.store, "clinics")
        self.assertEqual([held.claim], [entry.claim for entry in listed])
        self.assertEqual([], await list_claims(self.store, "clinic"))
        self.assertEqual(held.claim, claim_from_json(claim_to_json(held.claim)))


def _lost_answer_at(number: int) -> Callable[[str, int], StoreFault]:
    def fault(call: str, count: int) -> StoreFault:
        return StoreFault.LOST_ANSWER if count == number else StoreFault.NONE

    return fault

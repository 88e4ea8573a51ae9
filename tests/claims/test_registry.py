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
from hemlocktrestle.claims._registry import LEASE_SHARING_MS, RETENTION_S
from hemlocktrestle.errors import ErrorKind, RequestError
from tests.support import FakeStore, TrioTestCase
from tests.support._store import StoreFault

STORE_KEY = claim_key("clinics", "k")
ANSWER = RecordedAnswer(201, (("x", "y"),), b"done")


class RegistryCase(TrioTestCase):
    """A claim registry over an in-memory store."""

    def setUp(self) -> None:
        """Create the registry with a wall clock that a test can move."""
        super().setUp()
        self.store = FakeStore()
        self.clock_jump_ms = 0
        ids = itertools.count()
        self.registry = ClaimRegistry(
            self.store,
            writer="v1/b1",
            new_id=lambda: f"a{next(ids)}",
            wall_ms=self.wall_ms,
        )

    def wall_ms(self) -> int:
        """Return virtual time plus the jumps of the wall clock."""
        return int(trio.current_time() * 1000) + self.clock_jump_ms

    async def open(self, fingerprint: str = "f") -> OpenClaim:
        """Open the claim, which must be free."""
        held = await self.registry.open(
            "clinics", "k", fingerprint=fingerprint, request_id="r", run_ms=1_000
        )
        assert isinstance(held, OpenClaim)
        return held

    async def kind_of_open(self, fingerprint: str = "f") -> ErrorKind | None:
        """Try to open the claim; return the error kind, or ``None`` on success."""
        try:
            await self.open(fingerprint)
        except RequestError as error:
            return error.kind
        return None

    async def settle(self, *, has_run: bool) -> ErrorKind | None:
        """Settle the claim; return the error kind, or ``None`` on success."""
        try:
            await settle_claim(
                self.store, STORE_KEY, has_run=has_run, wall_ms=self.wall_ms()
            )
        except RequestError as error:
            return error.kind
        return None


class ClaimRegistryTests(RegistryCase):
    """A claim lets one writer run its request, and records how it ended."""

    async def test_a_recorded_answer_comes_back_as_it_was(self) -> None:
        """Status, headers and body are the same after a round trip to the store."""
        await self.registry.finish(await self.open(), ANSWER)
        again = await self.registry.open(
            "clinics", "k", fingerprint="f", request_id="r2", run_ms=1_000
        )
        self.assertEqual(ANSWER, again)

    async def test_an_answer_too_large_is_not_kept(self) -> None:
        """The claim still records that the request ran."""
        body = b"x" * (ANSWER_BYTES_MAX + 1)
        await self.registry.finish(await self.open(), ANSWER._replace(body=body))
        self.assertIs(ErrorKind.ANSWER_NOT_KEPT, await self.kind_of_open())

    async def test_a_key_with_another_fingerprint_is_refused(self) -> None:
        """A key with another fingerprint is refused as reused."""
        await self.open()
        self.assertIs(ErrorKind.KEY_REUSED, await self.kind_of_open("g"))

    async def test_a_claim_left_open_turns_from_running_to_unknown(self) -> None:
        """Once its writer can no longer dispatch, the claim is not "in progress"."""
        await self.open()
        self.assertIs(ErrorKind.KEY_IN_PROGRESS, await self.kind_of_open())
        await trio.sleep(62)
        self.assertIs(ErrorKind.KEY_UNVOUCHED, await self.kind_of_open())

    async def test_a_writer_whose_clock_jumped_may_not_run(self) -> None:
        """A VM that was suspended past ``run_by_ms`` detects it by the wall clock."""
        held = await self.open()
        self.registry.check_runnable(held)
        self.clock_jump_ms = 2_000
        with self.assertRaises(RequestError):
            self.registry.check_runnable(held)

    async def test_an_unreadable_claim_is_unknown(self) -> None:
        """The request of a claim that cannot be parsed may have run."""
        held = await self.open()
        item = self.store.items[held.key]
        self.store.items[held.key] = item._replace(value=b"{")
        self.assertIs(ErrorKind.KEY_UNVOUCHED, await self.kind_of_open())

    async def test_claims_share_a_lease_for_an_hour_and_are_kept_long(self) -> None:
        """One lease is granted for each hour, and outlives its claims' retention."""
        for _ in range(3):
            await self.registry.drop(await self.open())
        self.clock_jump_ms = LEASE_SHARING_MS
        held = await self.open()
        self.assertEqual(2, self.store.calls.count("grant"))
        self.assertEqual(2, held.claim.lease_id)
        self.assertEqual(
            RETENTION_S + LEASE_SHARING_MS // 1000, self.store.lease_ttl_s(2)
        )

    async def test_what_could_not_be_recorded_is_recorded_later(self) -> None:
        """A claim that cannot be closed in an outage is closed after it."""
        held = await self.open()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.registry.repairs.run)
            self.store.set_down(True)
            await self.registry.finish(held, ANSWER)
            await trio.sleep(20)
            self.assertEqual(1, self.registry.repairs.queued_count)
            self.store.set_down(False)
            await self.registry.repairs.wait_empty()
            nursery.cancel_scope.cancel()
        stored = claim_from_json(self.store.items[STORE_KEY].value)
        self.assertEqual(ANSWER, stored.answer)

    async def test_a_late_repair_leaves_a_newer_claim_alone(self) -> None:
        """A delayed delete does not remove a newer claim of the same key."""
        held = await self.open()
        await self.registry.drop(held)
        newer = await self.open()
        await self.registry.drop(held)
        stored = claim_from_json(self.store.items[STORE_KEY].value)
        self.assertEqual(newer.claim.attempt, stored.attempt)

    async def test_a_claim_that_appears_late_is_dropped(self) -> None:
        """Write and read-back got no answer, and the write takes effect after that."""
        self.store.fault = lambda call, number: (
            StoreFault.LOST_CALL if call != "grant" else StoreFault.NONE
        )
        self.assertIs(ErrorKind.CLAIM_UNAVAILABLE, await self.kind_of_open())
        self.store.fault = lambda call, number: StoreFault.NONE
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.registry.repairs.run)
            other = ClaimRegistry(
                self.store, writer="v1/b1", new_id=lambda: "a0", wall_ms=self.wall_ms
            )
            late = await other.open(
                "clinics", "k", fingerprint="f", request_id="r", run_ms=1_000
            )
            assert isinstance(late, OpenClaim)
            await self.registry.repairs.wait_empty()
            nursery.cancel_scope.cancel()
        self.assertNotIn(STORE_KEY, self.store.items)


class SettleTests(RegistryCase):
    """Operators can close claims of unknown outcome, and no others."""

    async def test_settled_as_run_it_is_never_run_again(self) -> None:
        """Resends are told that the request ran."""
        await self.registry.mark_unknown(await self.open())
        self.assertIsNone(await self.settle(has_run=True))
        self.assertIs(ErrorKind.ANSWER_NOT_KEPT, await self.kind_of_open())

    async def test_settled_as_not_run_the_key_is_free(self) -> None:
        """A resend may run."""
        await self.registry.mark_unknown(await self.open())
        self.assertIsNone(await self.settle(has_run=False))
        self.assertIsNone(await self.kind_of_open())

    async def test_what_may_run_or_is_closed_is_not_settled(self) -> None:
        """A missing, a possibly running and a closed claim give different errors."""
        self.assertIs(ErrorKind.SETTINGS_INVALID, await self.settle(has_run=False))
        held = await self.open()
        self.assertIs(ErrorKind.KEY_IN_PROGRESS, await self.settle(has_run=False))
        await self.registry.finish(held, ANSWER)
        self.assertIs(ErrorKind.SETTINGS_CONFLICT, await self.settle(has_run=False))

    async def test_a_lost_answer_is_settled_by_reading(self) -> None:
        """The result says that the write was confirmed by reading it back."""
        for has_run in (True, False):
            await self.registry.mark_unknown(await self.open())
            self.store.fault = _lost_answer_at(len(self.store.calls) + 2)
            is_by_reading = await settle_claim(
                self.store, STORE_KEY, has_run=has_run, wall_ms=self.wall_ms()
            )
            self.assertTrue(is_by_reading)
            self.store.items.pop(STORE_KEY, None)

    async def test_a_customers_claims_are_listed(self) -> None:
        """Only the customer's claims are listed, also not those of a shared prefix."""
        held = await self.open()
        listed = await list_claims(self.store, "clinics")
        self.assertEqual([held.claim], [entry.claim for entry in listed])
        self.assertEqual([], await list_claims(self.store, "clinic"))
        self.assertEqual(held.claim, claim_from_json(claim_to_json(held.claim)))


def _lost_answer_at(number: int) -> Callable[[str, int], StoreFault]:
    def fault(call: str, count: int) -> StoreFault:
        return StoreFault.LOST_ANSWER if count == number else StoreFault.NONE

    return fault

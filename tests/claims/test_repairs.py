"""Tests of the repair queue of claims."""

import random

import trio

from hemlocktrestle.claims import _repairs
from hemlocktrestle.claims._repairs import RepairQueue
from hemlocktrestle.errors import ErrorKind, RequestError
from tests.support import TrioTestCase


class RepairQueueTests(TrioTestCase):
    """Repairs are retried within limits of count, rate and time."""

    async def attempts(
        self, kind: ErrorKind | None, *, wait_s: float
    ) -> tuple[int, int]:
        """Run a failing and a good repair; return attempts and what is still queued."""
        repairs = RepairQueue(jitter=random.Random(1))
        tried: list[float] = []

        async def failing() -> bool:
            tried.append(trio.current_time())
            if kind is None:
                raise ValueError("broken")
            raise RequestError(kind, "failed")

        async def good() -> bool:
            return True

        async with trio.open_nursery() as nursery:
            nursery.start_soon(repairs.run)
            repairs.add("failing", failing, size_bytes=7)
            repairs.add("good", good)
            await trio.sleep(wait_s)
            nursery.cancel_scope.cancel()
        return len(tried), repairs.queued_count

    async def test_a_silent_store_is_asked_ever_less_often(self) -> None:
        """In ten minutes about 30 attempts are made, and all repairs stay queued."""
        tried, left = await self.attempts(ErrorKind.STORE_UNAVAILABLE, wait_s=600)
        self.assertEqual((True, 2), (20 <= tried <= 45, left))

    async def test_a_broken_repair_does_not_hold_up_the_others(self) -> None:
        """It is retried until its time limit, and then abandoned."""
        self.patch(_repairs, "REPAIR_AGE_S_MAX", 60.0)
        self.assertEqual(1, (await self.attempts(None, wait_s=30))[1])
        self.assertEqual(0, (await self.attempts(None, wait_s=90))[1])

    async def test_a_repair_that_finds_no_room_is_lost(self) -> None:
        """A full queue discards further repairs, which bounds its memory."""

        async def never() -> bool:
            return False

        repairs = RepairQueue(jitter=random.Random(1))
        for index in range(_repairs.REPAIRS_MAX + 1):
            repairs.add(str(index), never, size_bytes=2)
        self.assertEqual(_repairs.REPAIRS_MAX, repairs.queued_count)
        self.assertEqual(2 * _repairs.REPAIRS_MAX, repairs.queued_bytes)

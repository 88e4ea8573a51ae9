"""Tests of the task that owns the keepers, with a clock of the test."""

import trio

from hemlocktrestle.errors import ErrorKind
from hemlocktrestle.membership import Listing, Membership, UpstreamRecord, VmRecord
from hemlocktrestle.peers import SchedulerTask
from hemlocktrestle.wire import Ask, Message, Permit, Queued, Refusal
from tests.support import TrioTestCase

POOL = "chat"


def ask(name: str) -> Ask:
    """Return an ask that may wait 400 ms."""
    return Ask(name, POOL, "c", 0, 1.0, 10, 1, 0, 400, aim_ms=400, amount=10)


class Gate:
    """A quota with room or without."""

    def __init__(self, wait_ms: float | None = None) -> None:
        self.wait_ms = wait_ms
        self.refunds: list[str] = []

    def admit(self, ask: Ask) -> float | None:
        """Admit while there is room."""
        return self.wait_ms

    def refund(self, ask: Ask) -> None:
        """Note what is given back."""
        self.refunds.append(ask.ask_id)


class QuotaTests(TrioTestCase):
    """Asks count against their quota only if they run."""

    def _task(self, gate: Gate, replies: list[Message]) -> SchedulerTask:
        vm = VmRecord("v1", "z", "r", "v1:1", is_leaving=False)
        upstream = UpstreamRecord(
            "u1", "z", "r", "u1:1", "engine", (POOL,), "g1", is_leaving=False, slots=2
        )
        membership = Membership(vm)
        membership.apply_listing(Listing((vm,), (upstream,)))

        def reply(vm: str, message: Message) -> bool:
            replies.append(message)
            return True

        return SchedulerTask(
            membership,
            reply=reply,
            now_ms=lambda: trio.current_time() * 1000,
            policy=lambda: "objective",
            acknowledges=True,
            gate=gate,
        )

    async def _run(self, gate: Gate, *asks: Ask) -> list[Message]:
        replies: list[Message] = []
        task = self._task(gate, replies)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(task.run)
            for ask in asks:
                task.on_message("v2", ask)
            await trio.sleep(0.6)
            nursery.cancel_scope.cancel()
        return replies

    async def test_an_ask_over_its_quota_is_refused_at_once(self) -> None:
        """With the time to come again in, and nothing to give back."""
        gate = Gate(900.0)
        replies = await self._run(gate, ask("a1"))
        self.assertEqual([Refusal("a1", ErrorKind.RATE_LIMITED.value, 900)], replies)
        self.assertEqual([], gate.refunds)

    async def test_an_ask_that_gets_no_place_gives_back_what_it_counted(self) -> None:
        """The third of three for two places waits, and is refused at its deadline."""
        gate = Gate()
        replies = await self._run(gate, ask("a1"), ask("a2"), ask("a3"))
        self.assertEqual([Permit, Permit, Queued, Refusal], [*map(type, replies)])
        self.assertEqual(["a3"], gate.refunds)

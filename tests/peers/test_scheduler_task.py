"""Tests of the scheduler task, in virtual time."""

import trio

from hemlocktrestle.errors import ErrorKind
from hemlocktrestle.membership import Listing, Membership, UpstreamRecord, VmRecord
from hemlocktrestle.peers import SchedulerTask
from hemlocktrestle.wire import Ask, Message, Permit, Queued, Refusal, Release
from tests.support import TrioTestCase

POOL = "chat"


def ask(name: str) -> Ask:
    """Return a permit request that may be queued for 400 ms."""
    return Ask(name, POOL, "c", 0, 1.0, 10, 1, 0, 400, aim_ms=400, amount=10)


class Gate:
    """A quota that admits every request, or refuses each with a delay."""

    def __init__(self, wait_ms: float | None = None) -> None:
        self.wait_ms = wait_ms
        self.refunds: list[str] = []

    def admit(self, ask: Ask) -> float | None:
        """Return the delay, ``None`` to admit."""
        return self.wait_ms

    def refund(self, ask: Ask) -> None:
        """Record the refund."""
        self.refunds.append(ask.ask_id)


class QuotaTests(TrioTestCase):
    """Permit requests are charged to their quota only if they run."""

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

    async def test_a_request_over_its_quota_is_refused_at_once(self) -> None:
        """The refusal has the delay of a retry, and nothing is refunded."""
        gate = Gate(900.0)
        replies = await self._run(gate, ask("a1"))
        self.assertEqual([Refusal("a1", ErrorKind.RATE_LIMITED.value, 900)], replies)
        self.assertEqual([], gate.refunds)

    async def test_a_refused_request_is_refunded(self) -> None:
        """The third request for two slots is queued, refused and refunded."""
        gate = Gate()
        replies = await self._run(gate, ask("a1"), ask("a2"), ask("a3"))
        self.assertEqual([Permit, Permit, Queued, Refusal], [*map(type, replies)])
        self.assertEqual(["a3"], gate.refunds)


class ConnectTimeoutTests(TrioTestCase):
    """A connect that timed out may be the fault of the VM that tried."""

    async def _granted_after(self, *failures: tuple[str, ErrorKind]) -> list[str]:
        """Return the upstreams granted for two requests after failed connects.

        Args:
            failures: the VM that failed to connect to ``u1``, and how.
        """
        vm = VmRecord("v1", "z", "r", "v1:1", is_leaving=False)
        upstreams = tuple(
            UpstreamRecord(
                name, "z", "r", f"{name}:1", "plain", (POOL,), "", False, slots=4
            )
            for name in ("u1", "u2")
        )
        membership = Membership(vm)
        membership.apply_listing(Listing((vm,), upstreams))
        replies: list[Message] = []

        def reply(vm: str, message: Message) -> bool:
            replies.append(message)
            return True

        task = SchedulerTask(
            membership, reply=reply, now_ms=lambda: trio.current_time() * 1000
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(task.run)
            for number, (name, kind) in enumerate(failures):
                release = Release(
                    f"b{number}", POOL, "u1", False, kind.value, 0, 500, 10, 1
                )
                task.on_message(name, release)
            await trio.sleep(0.1)
            for number in range(8):
                task.on_message("v2", ask(f"a{number}"))
            await trio.sleep(0.1)
            nursery.cancel_scope.cancel()
        permits = [item for item in replies if isinstance(item, Permit)]
        return sorted({permit.upstream for permit in permits})

    async def test_one_vm_alone_does_not_condemn_an_upstream(self) -> None:
        """Guards against replicas taken from all VMs because one VM's link is full.

        That VM's connects time out whichever replica it tries.
        """
        timeout = ErrorKind.UPSTREAM_SILENT
        granted = await self._granted_after(("v2", timeout), ("v2", timeout))
        self.assertEqual(["u1", "u2"], granted)

    async def test_two_vms_do(self) -> None:
        """An upstream without power answers nobody."""
        timeout = ErrorKind.UPSTREAM_SILENT
        granted = await self._granted_after(("v2", timeout), ("v3", timeout))
        self.assertEqual(["u2"], granted)

    async def test_a_refused_connect_counts_at_once(self) -> None:
        """Nothing listens there, whoever tries."""
        granted = await self._granted_after(("v2", ErrorKind.UPSTREAM_REFUSED))
        self.assertEqual(["u2"], granted)

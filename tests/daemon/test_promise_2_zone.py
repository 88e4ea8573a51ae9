"""Promise 2 over the VMs of a zone, with every scheduler checked at each step."""

import random

import trio

from hemlocktrestle.errors import ErrorKind
from hemlocktrestle.peers import _scheduler_task
from hemlocktrestle.peers._scheduler_task import INBOX_MESSAGES_MAX
from hemlocktrestle.wire import Ask, Message, Refusal
from tests.scheduler.naive import TEST_POLICY, CheckedScheduler, upstream
from tests.support import TrioTestCase, World
from tests.support._world import MODEL, TIERS_BY_CALLER

SEEDS = range(5)
CALL_COUNT = 150
VMS = ("vm1", "vm2", "vm3")


class Zone:
    """A world of one zone whose schedulers are checked, and their shed requests.

    ``wrong_sheds`` lists each shed request for which a live scheduler of the zone still
    had one of a lower tier in its queue.
    """

    def __init__(self, case: TrioTestCase) -> None:
        case.patch(_scheduler_task, "PoolScheduler", CheckedScheduler)
        case.patch(_scheduler_task, "policy_named", lambda name: TEST_POLICY)
        self.world = World(
            vms=dict.fromkeys(VMS, "a"), upstreams=(upstream("u1"), upstream("u2"))
        )
        self.shed_count = 0
        self.wrong_sheds: list[str] = []
        self._tiers: dict[str, int] = {}
        self._deliver = self.world.deliver
        case.patch(self.world, "deliver", self.deliver)

    def deliver(self, sender: str, receiver: str, message: Message) -> bool:
        """Deliver a message, and check it if it sheds a request."""
        if isinstance(message, Ask):
            self._tiers[message.ask_id] = message.tier
        if isinstance(message, Refusal) and message.kind == ErrorKind.SHED.value:
            self.shed_count += 1
            tier = self._tiers[message.ask_id]
            if any(other > tier for other in self.queued_tiers()):
                self.wrong_sheds.append(f"{message.ask_id} at {trio.current_time()}")
        return self._deliver(sender, receiver, message)

    def queued_tiers(self) -> list[int]:
        """Return the tiers of all requests queued at the zone's live schedulers."""
        return [
            queued.ask.tier
            for vm in self.world.vms.values()
            for scheduler in vm.scheduler.schedulers().values()
            for queued in scheduler.queued_asks()
        ]

    def scheduler_vm(self) -> str:
        """Return the VM that schedules the pool."""
        vm = next(iter(self.world.vms.values()))
        name = vm.membership.scheduler_of(MODEL, "a", self.world.now_ms())
        assert name is not None
        return name


class ZoneTests(TrioTestCase):
    """Calls through three VMs of a zone while the scheduler is killed."""

    async def test_scheduler_killed_in_the_middle(self) -> None:
        """Schedulers agree with the naive model, and shed the lowest tier (5 seeds)."""
        for seed in SEEDS:
            zone = Zone(self)
            kinds = await self.run_calls(zone, random.Random(seed))
            self.assertEqual([], zone.wrong_sheds, f"seed {seed}")
            self.assertTrue(zone.shed_count > 0, f"seed {seed}: nothing was shed")
            self.assertEqual([], [k for k in kinds if k not in ("", "shed", "lost")])

    async def run_calls(self, zone: Zone, rng: random.Random) -> list[str]:
        """Make calls of all tiers through all VMs; return their error kinds."""
        kinds: list[str] = []

        async def call(vm: str, caller: str) -> None:
            answer = await zone.world.chat(vm, caller, "hello")
            kinds.append(answer.error_kind if answer.status else "lost")

        async with trio.open_nursery() as nursery:
            await zone.world.start(nursery)
            async with trio.open_nursery() as calls:
                for number in range(CALL_COUNT):
                    if number == CALL_COUNT // 2:
                        zone.world.vms[zone.scheduler_vm()].kill()
                    vm = rng.choice(sorted(zone.world.vms))
                    calls.start_soon(call, vm, rng.choice(sorted(TIERS_BY_CALLER)))
                    await trio.sleep(rng.expovariate(1 / 0.02))
            nursery.cancel_scope.cancel()
        return kinds

    async def test_the_role_moves_with_queued_asks(self) -> None:
        """Permit requests move from a VM that lost the role to the one that has it."""
        zone = Zone(self)
        async with trio.open_nursery() as nursery:
            await zone.world.start(nursery)
            name = zone.scheduler_vm()
            other = next(vm for vm in VMS if vm != name)
            for _ in range(6):
                nursery.start_soon(self.long_chat, zone, other)
            await trio.sleep(0.5)
            old = zone.world.vms[name].scheduler
            self.assertEqual(2, len(old.schedulers()[MODEL].queued_asks()))
            zone.world.vms[name].membership.is_draining = True
            await trio.sleep(3)
            self.assertEqual(2, len(zone.queued_tiers()))
            self.assertEqual([], old.schedulers()[MODEL].queued_asks())
            nursery.cancel_scope.cancel()

    async def long_chat(self, zone: Zone, vm: str) -> None:
        """Make a call that takes about ten seconds."""
        await zone.world.chat(vm, "pupil", "hello", max_tokens=1_000)


class InboxTests(TrioTestCase):
    """A scheduler whose inbox is full."""

    async def test_a_full_inbox_turns_no_high_ask_away(self) -> None:
        """A high-tier permit request is queued although low ones fill the inbox."""
        zone = Zone(self)
        refused: list[str] = []

        def reply(vm: str, message: Message) -> bool:
            if isinstance(message, Refusal):
                refused.append(message.ask_id)
            return True

        async with trio.open_nursery() as nursery:
            await zone.world.start(nursery)
            vm = zone.world.vms["vm1"]
            scheduler = _scheduler_task.SchedulerTask(
                vm.membership, reply=reply, now_ms=zone.world.now_ms
            )
            for number in range(INBOX_MESSAGES_MAX + 5):
                low = Ask(f"low{number}", MODEL, "c", 2, 1.0, 1, 1, 0, 60_000)
                scheduler.on_message("vm2", low)
            scheduler.on_message(
                "vm2", Ask("high", MODEL, "c", 0, 1.0, 1, 1, 0, 60_000)
            )
            nursery.start_soon(scheduler.run)
            await trio.sleep(0.05)
            queued = scheduler.schedulers()[MODEL].queued_asks()
            self.assertEqual(INBOX_MESSAGES_MAX + 6 - 8, len(refused))
            self.assertNotIn("high", refused)
            self.assertIn("high", [item.ask.ask_id for item in queued])
            nursery.cancel_scope.cancel()

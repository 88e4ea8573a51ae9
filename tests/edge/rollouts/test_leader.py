"""Tests of orders whose leader, store or VMs fail at some step: one outcome, always."""

import trio

from hemlocktrestle.rollout import Phase, Use
from tests.edge.rollouts.fleet import (
    RECORD_KEY,
    SERVICE,
    STATUS_KEY,
    Fleet,
    running_fleet,
)
from tests.support import TrioTestCase

STEPS = (Phase.CANARY, Phase.SHIFTING)
"""Phases at which something fails."""

MOST_S = 60.0


async def judge_bad(fleet: Fleet, name: str) -> None:
    """Let one VM find the target bad."""
    rollouts = fleet.vms[name].rollouts
    rollouts.followers[SERVICE].stop()
    rollouts.report(SERVICE)


class OutcomeTests(TrioTestCase):
    """Without a failure."""

    async def test_a_good_version_is_completed_before_its_deadline(self) -> None:
        """The operator reads the states in their order."""
        async with running_fleet() as fleet:
            began_s = trio.current_time()
            fleet.order()
            await fleet.until(Phase.CANARY)
            await trio.sleep(0.5)
            self.assertEqual("running", fleet.status)
            await fleet.until(Phase.COMPLETED)
            self.assertLess(trio.current_time() - began_s, 12)
            self.assertEqual(
                ("completed", {"completed"}), (fleet.status, fleet.outcomes())
            )

    async def test_a_bad_version_is_rolled_back_at_once(self) -> None:
        """A verdict of any VM stops all of them."""
        for step in STEPS:
            async with running_fleet() as fleet:
                fleet.order()
                await fleet.until(step)
                await trio.sleep(0.5)
                await judge_bad(fleet, "c")
                self.assertEqual(
                    {Use.NOTHING}, {vm.use("v2") for vm in fleet.vms.values()}
                )
                await trio.sleep(1)
                self.assertEqual(
                    ("rolled_back", {"rolled_back"}), (fleet.status, fleet.outcomes())
                )

    async def test_requests_at_the_old_version_are_waited_for(self) -> None:
        """The old replicas stop at once when the order is completed."""
        async with running_fleet() as fleet:
            fleet.order()
            await fleet.until(Phase.CANARY)
            fleet.vms["c"].rollouts.on_attempt_started("r0")
            await trio.sleep(14)
            self.assertEqual("running", fleet.status)
            fleet.vms["c"].rollouts.on_attempt_ended("r0")
            await trio.sleep(1)
            self.assertEqual("completed", fleet.status)

    async def test_nothing_reaches_the_target_before_the_order_is_recorded(
        self,
    ) -> None:
        """A VM that knows replicas of the target, and no order, waits too."""
        async with running_fleet() as fleet:
            uses = {vm.use("v2") for vm in fleet.vms.values()}
            fleet.order()
            await trio.sleep(0.01)
            uses |= {vm.use("v2") for vm in fleet.vms.values()}
            self.assertEqual({Use.NOTHING}, uses)


class LeaderKilledTests(TrioTestCase):
    """The successor reads the record and goes on."""

    async def test_a_good_version_is_completed_by_the_successor(self) -> None:
        """The leader is killed at each step; the deadline holds."""
        for step in STEPS:
            async with running_fleet() as fleet:
                began_s = trio.current_time()
                fleet.order()
                await fleet.until(step)
                fleet.kill("a")
                await fleet.until(Phase.COMPLETED)
                self.assertLess(trio.current_time() - began_s, 12)
                self.assertEqual({"completed"}, fleet.outcomes())

    async def test_a_verdict_survives_the_leader(self) -> None:
        """It is killed when it has heard of the verdict, before it records it."""
        for step in STEPS:
            async with running_fleet() as fleet:
                fleet.order()
                await fleet.until(step)
                await trio.sleep(0.3)
                await judge_bad(fleet, "b")
                fleet.kill("a")
                await trio.sleep(20)
                self.assertEqual({"rolled_back"}, fleet.outcomes())

    async def test_an_outcome_survives_all_vms_that_knew_it(self) -> None:
        """A fresh VM reads the record."""
        async with running_fleet() as fleet:
            fleet.order()
            await fleet.until(Phase.CANARY)
            await trio.sleep(0.5)
            await judge_bad(fleet, "b")
            await fleet.until(Phase.ROLLED_BACK)
            follower = fleet.vms["c"].rollouts.followers
            fleet.kill("a")
            fleet.kill("b")
            follower.clear()
            fleet.vms["c"].leader._leads.clear()
            fleet.store.forget()
            await trio.sleep(20)
            self.assertEqual({"rolled_back"}, fleet.outcomes())
            self.assertEqual(Use.NOTHING, fleet.vms["c"].use("v2"))


class StoreAwayTests(TrioTestCase):
    """Nobody goes on without the store, and nobody goes on with a bad version."""

    async def test_an_order_waits_for_the_store(self) -> None:
        """What was granted stays in force; it is completed after the return."""
        for step in STEPS:
            async with running_fleet() as fleet:
                fleet.order()
                await fleet.until(step)
                await trio.sleep(0.3)
                fleet.store.status = 503
                await trio.sleep(14)
                phases = {vm.phase for vm in fleet.vms.values()}
                self.assertEqual({step}, phases)
                fleet.store.status = 0
                await trio.sleep(20)
                self.assertEqual({"completed"}, fleet.outcomes())

    async def test_a_verdict_stops_all_without_the_store(self) -> None:
        """It is recorded after the return."""
        for step in STEPS:
            async with running_fleet() as fleet:
                fleet.order()
                await fleet.until(step)
                await trio.sleep(0.3)
                fleet.store.status = 503
                await judge_bad(fleet, "c")
                uses = {vm.use("v2") for vm in fleet.vms.values()}
                self.assertEqual({Use.NOTHING}, uses)
                await trio.sleep(10)
                fleet.store.status = 0
                await trio.sleep(3)
                self.assertEqual({"rolled_back"}, fleet.outcomes())

    async def test_a_lost_answer_gives_one_outcome(self) -> None:
        """The write that got no answer has taken effect."""
        for lost in (1, 2, 3):
            async with running_fleet() as fleet:
                fleet.order()
                await fleet.until(Phase.SHIFTING)
                fleet.store.lose_answers = lost
                await trio.sleep(1)
                await judge_bad(fleet, "b")
                await trio.sleep(30)
                self.assertEqual({"rolled_back"}, fleet.outcomes())

    async def test_an_outcome_that_the_store_lost_is_written_again(self) -> None:
        """It comes back from an older copy; watches start anew."""
        async with running_fleet() as fleet:
            fleet.order()
            await fleet.until(Phase.CANARY)
            await trio.sleep(0.5)
            older = fleet.store.entries[RECORD_KEY]
            await judge_bad(fleet, "b")
            await fleet.until(Phase.ROLLED_BACK)
            fleet.store.put(RECORD_KEY, older.value)
            fleet.store.remove(STATUS_KEY)
            fleet.store.forget()
            await trio.sleep(10)
            self.assertEqual(
                ("rolled_back", {"rolled_back"}), (fleet.status, fleet.outcomes())
            )


class CutTests(TrioTestCase):
    """A VM that hears nothing from the leader."""

    async def test_it_stops_using_the_target(self) -> None:
        """Its grant is old before the time to stop has passed."""
        for step in STEPS:
            async with running_fleet() as fleet:
                fleet.order()
                await fleet.until(step)
                fleet.cut.add("c")
                await trio.sleep(3)
                vm = fleet.vms["c"]
                self.assertEqual((Use.NOTHING, Use.ALL), (vm.use("v2"), vm.use("v1")))

    async def test_it_does_not_prevent_completion_by_the_deadline(self) -> None:
        """It is waited for until the margin is nearly used."""
        async with running_fleet() as fleet:
            began_s = trio.current_time()
            fleet.order()
            await fleet.until(Phase.SHIFTING)
            fleet.cut.add("c")
            await fleet.until(Phase.COMPLETED)
            self.assertLess(trio.current_time() - began_s, 12)

    async def test_it_learns_the_outcome_when_it_is_back(self) -> None:
        """Outcomes are granted again and again."""
        async with running_fleet() as fleet:
            fleet.order()
            await fleet.until(Phase.CANARY)
            await trio.sleep(0.5)
            fleet.cut.add("c")
            await judge_bad(fleet, "b")
            await fleet.until(Phase.ROLLED_BACK)
            fleet.cut.clear()
            await trio.sleep(3)
            self.assertEqual(Phase.ROLLED_BACK, fleet.vms["c"].phase)

"""Promise 5: a request with an effect takes effect at most once, whatever fails."""

from functools import partial

import trio

from hemlocktrestle.claims import claim_from_json, claim_key, settle_claim
from hemlocktrestle.errors import ErrorKind, RequestError
from hemlocktrestle.ports import UpstreamAnswer, UpstreamCall
from tests.daemon.scenario import (
    KEY,
    KEYED_CHAT,
    STREAMED_CHAT,
    TICKETED_CHAT,
    WIPE,
    Scenario,
    at_each_message,
    at_each_step,
    at_each_store_call,
    cut_zones,
    kill_requester,
    no_fault,
    pause_requester,
    reboot,
    run_scenario,
    take_store_down,
    with_faults_at_random,
)
from tests.support import TrioTestCase
from tests.support._store import StoreFault

STORE_KEY = claim_key("clinics", KEY)


async def break_after_effect(call: UpstreamCall) -> UpstreamAnswer:
    """Break the connection after the effect, before the answer."""
    await trio.sleep(0.01)
    raise RequestError(ErrorKind.UPSTREAM_BROKEN, "broke off")


class EffectTests(TrioTestCase):
    """A fault at every step of a keyed request with an effect and of its resends."""

    def assert_no_violations(self, scenarios: list[Scenario]) -> None:
        """Check that no run violated a promise, and that there were several runs."""
        self.assertGreater(len(scenarios), 2)
        self.assertEqual(
            [], [text for scenario in scenarios for text in scenario.violations()]
        )

    def assert_dispatched_once(self, scenarios: list[Scenario]) -> None:
        """Check also that the request was dispatched exactly once in each run."""
        self.assert_no_violations(scenarios)
        undone = [
            scenario.fault for scenario in scenarios if scenario.dispatch_count != 1
        ]
        self.assertEqual([], undone)

    def test_without_faults_the_resends_get_the_recorded_answer(self) -> None:
        """There is one effect, and the resends get the same answer, byte for byte."""
        scenario = run_scenario(WIPE, no_fault, "none")
        self.assert_dispatched_once([scenario, scenario, scenario])
        bodies = {answer.body for answer in scenario.answers if answer.status == 201}
        self.assertEqual(1, len(bodies))
        self.assertEqual("true", scenario.answers[-1].headers["idempotency-replayed"])

    def test_requester_killed_at_every_step(self) -> None:
        """Resends never run a request that may have run."""
        self.assert_no_violations(
            at_each_step(WIPE, "requester killed", kill_requester)
        )

    def test_requester_rebooted_at_every_step(self) -> None:
        """The requesting VM restarts under its name without its memory."""
        act = partial(reboot, vm="v1")
        self.assert_no_violations(at_each_step(WIPE, "requester reboots", act))

    def test_three_faults_at_random_steps(self) -> None:
        """Kills, pauses, cuts and outages with unreliable links and store."""
        self.assert_no_violations(with_faults_at_random(WIPE, seed=5, runs=100))

    def test_second_vm_killed_at_every_step(self) -> None:
        """The VM of the resend, which may schedule the pool, is killed."""
        scenarios = at_each_step(
            WIPE, "v2 killed", lambda scenario: scenario.kill("v2")
        )
        self.assert_no_violations(scenarios)

    def test_whole_zone_killed_at_every_step(self) -> None:
        """Both VMs of the zone are killed; the other zone does not run it again."""
        scenarios = at_each_step(
            WIPE, "zone killed", lambda scenario: scenario.kill("v1", "v2")
        )
        self.assert_no_violations(scenarios)

    def test_store_outage_from_every_step(self) -> None:
        """No keyed request starts in a store outage; after it the request ran once."""
        self.assert_dispatched_once(at_each_step(WIPE, "outage", take_store_down))

    def test_store_call_lost_at_every_call(self) -> None:
        """A lost call of the store costs at most a resend."""
        self.assert_dispatched_once(at_each_store_call(WIPE, (StoreFault.LOST_CALL,)))

    def test_store_answer_lost_at_every_call(self) -> None:
        """A write that took effect without an answer is read back."""
        self.assert_dispatched_once(at_each_store_call(WIPE, (StoreFault.LOST_ANSWER,)))

    def test_answer_and_readback_lost_at_every_call(self) -> None:
        """A claim whose request did not run is deleted, and a resend runs."""
        faults = (StoreFault.LOST_ANSWER, StoreFault.LOST_CALL)
        self.assert_dispatched_once(at_each_store_call(WIPE, faults))

    def test_answer_lost_twice_at_every_call(self) -> None:
        """Two lost answers in a row do not change the result."""
        faults = (StoreFault.LOST_ANSWER, StoreFault.LOST_ANSWER)
        self.assert_dispatched_once(at_each_store_call(WIPE, faults))

    def test_requester_killed_after_a_lost_answer(self) -> None:
        """The answers of the writes are lost, and the requesting VM is killed."""

        def kill_later(scenario: Scenario) -> None:
            scenario.world.store.fault = lambda call, number: (
                StoreFault.LOST_ANSWER if number <= 3 else StoreFault.NONE
            )
            scenario.kill("v1")

        self.assert_no_violations(
            at_each_step(WIPE, "lost answers and a kill", kill_later)
        )

    def test_caller_gone_at_every_step(self) -> None:
        """The request goes on, and resends get its answer, never "unknown"."""
        scenarios = at_each_step(
            WIPE, "caller gone", lambda scenario: scenario.first_call_scope.cancel()
        )
        self.assert_dispatched_once(scenarios)
        statuses = {
            scenario.fault: scenario.answers[-1].status for scenario in scenarios
        }
        self.assertEqual({201}, set(statuses.values()), str(statuses))

    def test_a_stream_whose_caller_left_is_recorded_completely(self) -> None:
        """The resends get the complete stream with its end mark."""
        scenarios = at_each_step(
            STREAMED_CHAT,
            "caller gone",
            lambda scenario: scenario.first_call_scope.cancel(),
        )
        self.assert_dispatched_once(scenarios)
        for scenario in scenarios:
            last = scenario.answers[-1]
            self.assertEqual("complete", last.outcome, scenario.fault)
            self.assertIn(b"data: [DONE]", last.body, scenario.fault)

    def test_link_messages_lost_doubled_and_late(self) -> None:
        """Each message between VMs is lost, duplicated, or three seconds late."""
        for name, delays_s in (
            ("lost", ()),
            ("doubled", (0.0005, 0.0015)),
            ("late", (3.0,)),
        ):
            self.assert_no_violations(at_each_message(WIPE, name, delays_s))

    def test_zones_cut_at_every_step(self) -> None:
        """The zones are cut off from each other but both reach the store."""
        self.assert_dispatched_once(at_each_step(WIPE, "zones cut", cut_zones))

    def test_requester_paused_at_every_step(self) -> None:
        """The requesting VM is paused past its permit, and past its deadline."""
        for pause_s in (2.0, 5.0):
            act = partial(pause_requester, pause_s=pause_s)
            self.assert_dispatched_once(at_each_step(WIPE, f"paused {pause_s} s", act))

    def test_lost_outcome_is_unknown_until_it_is_settled(self) -> None:
        """If the connection breaks after the effect, resends also get "unknown"."""

        def inject(scenario: Scenario) -> None:
            for name in ("l1:1", "l2:1", "l3:1"):
                scenario.world.upstreams.behaviours[name] = break_after_effect

        scenario = run_scenario(WIPE, inject, "ledger breaks off")
        self.assert_dispatched_once([scenario, scenario, scenario])
        self.assertEqual({"unknown"}, {answer.outcome for answer in scenario.answers})

    def test_keyed_model_calls_at_every_kill_and_lost_answer(self) -> None:
        """A caller's key on a model call is claimed in the same way."""
        self.assert_no_violations(
            at_each_step(KEYED_CHAT, "requester killed", kill_requester)
        )
        self.assert_dispatched_once(
            at_each_store_call(KEYED_CHAT, (StoreFault.LOST_ANSWER,))
        )


class OtherCallerTests(TrioTestCase):
    """A key belongs to the customer, but its answer only to the caller."""

    async def test_another_caller_gets_neither_a_run_nor_the_answer(self) -> None:
        """Two callers of a customer use the same key and body."""
        for spec in (WIPE, KEYED_CHAT, TICKETED_CHAT):
            scenario = Scenario(spec, "another caller")
            async with trio.open_nursery() as nursery:
                await scenario.world.start(nursery)
                scenario.key = spec.key(scenario.world)
                first = await scenario.send("v1")
                other = await scenario.send("v2", caller="nurse")
                nursery.cancel_scope.cancel()
            self.assertEqual("complete", first.outcome)
            self.assertEqual("key_reused", other.error_kind)
            self.assertEqual(1, scenario.dispatch_count)


class SettleTests(TrioTestCase):
    """An operator settles the claim that a killed VM left open."""

    async def settled(
        self, number: int, *, early: bool = False
    ) -> tuple[Scenario, int]:
        """Kill the requesting VM at a step, settle correctly, and resend."""
        scenario = Scenario(WIPE, f"requester killed at step {number}")
        async with trio.open_nursery() as nursery:
            world = scenario.world
            await world.start(nursery)
            scenario.key = KEY
            world.steps.arm(number, partial(kill_requester, scenario))
            await scenario.send("v1")
            if STORE_KEY in world.store.items:
                await trio.sleep(0 if early else 100)
                has_run = scenario.dispatch_count > 0
                stored = claim_from_json(world.store.items[STORE_KEY].value)
                if stored.state.value in ("open", "unknown"):
                    await settle_claim(
                        world.store,
                        STORE_KEY,
                        has_run=has_run,
                        wall_ms=int(world.now_ms()),
                    )
            last = await scenario.send("v3")
            nursery.cancel_scope.cancel()
        return scenario, last.status

    async def test_settling_leaves_one_effect_at_every_kill(self) -> None:
        """After settling, the request has run exactly once, and resends get that."""
        for number in range(1, 12):
            scenario, status = await self.settled(number)
            self.assertEqual([], scenario.violations())
            self.assertEqual(1, scenario.dispatch_count, scenario.fault)
            self.assertIn(status, (201, 409), scenario.fault)

    async def test_a_claim_that_may_still_run_is_not_settled(self) -> None:
        """A claim whose VM may still dispatch cannot be settled."""
        kinds = []
        try:
            await self.settled(4, early=True)
        except* RequestError as errors:
            kinds = [getattr(error, "kind", None) for error in errors.exceptions]
        self.assertEqual([ErrorKind.KEY_IN_PROGRESS], kinds)

"""Promise 1: each request is dispatched to an engine at most once."""

from functools import partial

import trio

from hemlocktrestle.errors import ErrorKind, RequestError
from hemlocktrestle.ports import UpstreamAnswer, UpstreamCall
from tests.daemon.scenario import (
    KEYED_CHAT,
    PLAIN_CHAT,
    TICKETED_CHAT,
    Inject,
    RequestSpec,
    Scenario,
    at_each_message,
    at_each_step,
    cut_zones,
    no_fault,
    pause_requester,
    reboot,
    run_scenario,
    ticket_of,
    with_faults_at_random,
)
from tests.support import TrioTestCase

LINK_FAULTS: tuple[tuple[str, tuple[float, ...]], ...] = (
    ("lost", ()),
    ("doubled", (0.0005, 0.0015)),
    ("late", (3.0,)),
)
ENGINE_ADDRESSES = ("e1:1", "e2:1", "e3:1")


async def fall_silent(call: UpstreamCall) -> UpstreamAnswer:
    """Accept the request and do not answer until the client times out."""
    await trio.sleep(call.inactivity_timeout_ms / 1000)
    raise RequestError(ErrorKind.UPSTREAM_SILENT, "fell silent")


async def break_off(call: UpstreamCall) -> UpstreamAnswer:
    """Accept the request and break the connection."""
    await trio.sleep(0.01)
    raise RequestError(ErrorKind.UPSTREAM_BROKEN, "broke off")


class DispatchCase(TrioTestCase):
    """Checks that the tests below share."""

    def assert_no_violations(self, scenarios: list[Scenario]) -> None:
        """Check that no run violated a promise, and that there were several runs."""
        self.assertGreater(len(scenarios), 2)
        self.assertEqual(
            [], [text for scenario in scenarios for text in scenario.violations()]
        )

    def inject_at_each_step(
        self, spec: RequestSpec, name: str, act: Inject
    ) -> list[Scenario]:
        """Inject a fault at every step, and check each run."""
        scenarios = at_each_step(spec, name, act)
        self.assert_no_violations(scenarios)
        return scenarios

    def assert_all_unknown(self, behaviour: Inject) -> None:
        """Check that all answers are "unknown" under one behaviour of all engines."""
        for spec in (PLAIN_CHAT, KEYED_CHAT, TICKETED_CHAT):
            scenario = run_scenario(spec, behaviour, "upstreams misbehave")
            self.assertEqual([], scenario.violations())
            self.assertEqual(
                {"unknown"}, {answer.outcome for answer in scenario.answers}
            )


class ArrivalTests(DispatchCase):
    """Each request without a key is dispatched once, also when it is a resend."""

    def test_each_arrival_is_dispatched_once(self) -> None:
        """Four requests without faults are four dispatches."""
        scenario = run_scenario(PLAIN_CHAT, no_fault, "none")
        self.assertEqual([], scenario.violations())
        self.assertEqual(4, scenario.dispatch_count)

    def test_requester_and_scheduler_killed_at_every_step(self) -> None:
        """Requesting VM, scheduler or both die at any step."""
        self.inject_at_each_step(
            PLAIN_CHAT, "requester killed", lambda scenario: scenario.kill("v1")
        )
        self.inject_at_each_step(
            PLAIN_CHAT, "scheduler killed", lambda s: s.kill(s.scheduler())
        )
        self.inject_at_each_step(
            PLAIN_CHAT, "both killed", lambda scenario: scenario.kill("v1", "v2")
        )

    def test_link_messages_lost_doubled_and_late(self) -> None:
        """Each message is lost, duplicated, or three seconds late."""
        for name, delays_s in LINK_FAULTS:
            self.assert_no_violations(at_each_message(PLAIN_CHAT, name, delays_s))

    def test_requester_paused_at_every_step(self) -> None:
        """The requesting VM is paused past its permit, and past its deadline."""
        for pause_s in (2.0, 5.0):
            act = partial(pause_requester, pause_s=pause_s)
            self.inject_at_each_step(PLAIN_CHAT, f"paused {pause_s} s", act)

    def test_caller_gone_at_every_step(self) -> None:
        """A request whose caller goes away is dispatched at most once."""
        self.inject_at_each_step(
            PLAIN_CHAT, "caller gone", lambda s: s.first_call_scope.cancel()
        )


class RandomFaultTests(DispatchCase):
    """Several faults in one run, at random steps of a fixed seed."""

    def test_three_faults_at_random_steps(self) -> None:
        """Kills, pauses, cuts and outages with unreliable links and store."""
        for spec in (PLAIN_CHAT, KEYED_CHAT, TICKETED_CHAT):
            self.assert_no_violations(with_faults_at_random(spec, seed=1, runs=60))


class PermitTests(DispatchCase):
    """A permit is used once and in time, or released unused."""

    def paused_at(self, step: str, pause_s: float) -> Scenario:
        """Pause the first requesting VM at a named step of its request."""
        names = run_scenario(PLAIN_CHAT, no_fault, "none").world.steps.names

        def inject(scenario: Scenario) -> None:
            act = partial(pause_requester, scenario, pause_s=pause_s)
            scenario.world.steps.arm(names.index(step) + 1, act)

        return run_scenario(PLAIN_CHAT, inject, f"paused {pause_s} s at {step}")

    def test_a_permit_that_lapsed_before_dispatch_is_not_used(self) -> None:
        """After a pause past its permit the VM gets another, and dispatches once."""
        scenario = self.paused_at("connecting", 2.0)
        self.assertEqual([], scenario.violations())
        # Each request connects once, and the paused one a second time.
        self.assertEqual(5, scenario.world.steps.names.count("connecting"))
        self.assertEqual(4, scenario.dispatch_count)

    def test_a_deadline_that_passed_before_dispatch_is_not_run(self) -> None:
        """After a pause past the deadline the VM does not dispatch and says so."""
        scenario = self.paused_at("connecting", 5.0)
        self.assertEqual([], scenario.violations())
        self.assertIn("deadline_in_queue", [a.error_kind for a in scenario.answers])
        self.assertEqual(3, scenario.dispatch_count)

    async def test_the_slot_of_a_lapsed_permit_is_free_again(self) -> None:
        """After a pause no request stays in flight at the scheduler."""
        scenario = Scenario(PLAIN_CHAT, "paused")
        async with trio.open_nursery() as nursery:
            await scenario.world.start(nursery)
            scenario.world.steps.arm(3, partial(pause_requester, scenario, pause_s=2.0))
            await scenario.send("v1")
            await trio.sleep(1)
            scheduler = scenario.world.vms[scenario.scheduler()].scheduler
            in_hand = [
                len(model.in_flight)
                for pool in scheduler.schedulers().values()
                for model in pool.models()
            ]
            nursery.cancel_scope.cancel()
        self.assertEqual([0, 0], in_hand)


class RetryTests(DispatchCase):
    """Another upstream is tried only if no byte has been sent."""

    def test_an_upstream_out_of_reach_is_passed_over(self) -> None:
        """The request is dispatched to the zone's other engine, or to another zone."""
        for gone in (ENGINE_ADDRESSES[:1], ENGINE_ADDRESSES[:2]):
            act = partial(_make_unreachable, addresses=gone)
            scenario = run_scenario(PLAIN_CHAT, act, f"{gone} out of reach")
            self.assertEqual([], scenario.violations())
            self.assertEqual([200] * 4, [answer.status for answer in scenario.answers])

    def test_with_no_upstream_in_reach_the_answer_is_not_run(self) -> None:
        """No attempt sends a byte, and the caller is told "not-run"."""
        for spec in (PLAIN_CHAT, KEYED_CHAT, TICKETED_CHAT):
            act = partial(_make_unreachable, addresses=ENGINE_ADDRESSES)
            scenario = run_scenario(spec, act, "all out of reach")
            self.assertEqual(0, scenario.dispatch_count)
            kinds = {answer.error_kind for answer in scenario.answers}
            self.assertLessEqual(kinds, {"upstream_unreachable", "key_in_progress"})

    def test_a_silent_connection_is_not_tried_again(self) -> None:
        """If the engine never answers, the outcome is unknown after one dispatch."""
        self.assert_all_unknown(
            lambda scenario: _set_engine_behaviour(scenario, fall_silent)
        )

    def test_a_broken_connection_is_not_tried_again(self) -> None:
        """If the connection breaks, the outcome is unknown after one dispatch."""
        self.assert_all_unknown(
            lambda scenario: _set_engine_behaviour(scenario, break_off)
        )

    async def test_the_budget_ends_repeated_attempts(self) -> None:
        """Many failing requests connect little more than once each."""
        scenario = Scenario(PLAIN_CHAT, "all out of reach")
        async with trio.open_nursery() as nursery:
            await scenario.world.start(nursery)
            scenario.world.upstreams.unreachable.update(ENGINE_ADDRESSES)
            for _ in range(200):
                await scenario.send("v1")
            nursery.cancel_scope.cancel()
        dialled = scenario.world.steps.names.count("connecting")
        self.assertLessEqual(dialled, 200 * 1.1 + 20)


class TicketTests(DispatchCase):
    """A ticket lets one request run, and without a verdict none runs."""

    def test_without_faults_a_resend_is_told_that_it_ran(self) -> None:
        """The last resend gets ``answer_not_kept``, and nothing runs again."""
        scenario = run_scenario(TICKETED_CHAT, no_fault, "none")
        self.assertEqual([], scenario.violations())
        self.assertEqual(1, scenario.dispatch_count)
        self.assertEqual("answer_not_kept", scenario.answers[-1].error_kind)

    def test_kills_and_reboots_at_every_step(self) -> None:
        """Requesting VM and issuer are killed and rebooted at any step."""
        self.inject_at_each_step(
            TICKETED_CHAT, "requester killed", lambda scenario: scenario.kill("v1")
        )
        self.inject_at_each_step(
            TICKETED_CHAT, "issuer killed", lambda scenario: scenario.kill("v2")
        )
        self.inject_at_each_step(
            TICKETED_CHAT, "issuer reboots", partial(reboot, vm="v2")
        )
        own = TICKETED_CHAT._replace(key=ticket_of("v1"))
        self.inject_at_each_step(
            own, "requester and issuer reboot", partial(reboot, vm="v1")
        )

    def test_zones_cut_at_every_step(self) -> None:
        """A VM that cannot reach the issuer refuses the ticket."""
        scenarios = self.inject_at_each_step(TICKETED_CHAT, "zones cut", cut_zones)
        self.assertEqual(
            {1}, {scenario.dispatch_count for scenario in scenarios}, "own zone decides"
        )
        kinds = {scenario.answers[2].error_kind for scenario in scenarios}
        self.assertIn("key_unvouched", kinds)

    def test_link_messages_lost_doubled_and_late(self) -> None:
        """Each message about a ticket is lost, duplicated, or late."""
        for name, delays_s in LINK_FAULTS:
            self.assert_no_violations(at_each_message(TICKETED_CHAT, name, delays_s))

    def test_requester_paused_and_caller_gone_at_every_step(self) -> None:
        """The requesting VM is paused, or the caller goes away, at any step."""
        act = partial(pause_requester, pause_s=2.0)
        self.inject_at_each_step(TICKETED_CHAT, "requester paused", act)
        self.inject_at_each_step(
            TICKETED_CHAT, "caller gone", lambda s: s.first_call_scope.cancel()
        )

    def test_not_run_frees_the_ticket(self) -> None:
        """A request that ended as "not-run" runs when it is resent with its ticket."""

        def inject(scenario: Scenario) -> None:
            unreachable = scenario.world.upstreams.unreachable
            unreachable.update(ENGINE_ADDRESSES)
            scenario.world.steps.arm(12, unreachable.clear)

        scenario = run_scenario(TICKETED_CHAT, inject, "out of reach at first")
        self.assertEqual([], scenario.violations())
        self.assertEqual(1, scenario.dispatch_count)


def _make_unreachable(scenario: Scenario, *, addresses: tuple[str, ...]) -> None:
    scenario.world.upstreams.unreachable.update(addresses)


def _set_engine_behaviour(scenario: Scenario, behaviour: object) -> None:
    for address in ENGINE_ADDRESSES:
        scenario.world.upstreams.behaviours[address] = behaviour  # type: ignore[assignment]

"""Promise 1: each request is dispatched to an engine at most once."""

from functools import partial

import trio

from hemlocktrestle.errors import ErrorKind, RequestError
from hemlocktrestle.ports import UpstreamAnswer, UpstreamCall
from tests.daemon.walk import (
    KEYED_CHAT,
    PLAIN_CHAT,
    TICKETED_CHAT,
    Inject,
    Story,
    Work,
    at_each_message,
    at_each_step,
    cut_zones,
    no_fault,
    pause_holder,
    reboot,
    tell,
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
    """Take the request and never answer, until the client gives up."""
    await trio.sleep(call.inactivity_timeout_ms / 1000)
    raise RequestError(ErrorKind.UPSTREAM_SILENT, "fell silent")


async def break_off(call: UpstreamCall) -> UpstreamAnswer:
    """Take the request and break off."""
    await trio.sleep(0.01)
    raise RequestError(ErrorKind.UPSTREAM_BROKEN, "broke off")


class DispatchCase(TrioTestCase):
    """What the subjects below share."""

    def assert_kept(self, stories: list[Story]) -> None:
        """Check every run, and that faults were injected at all."""
        self.assertGreater(len(stories), 2)
        self.assertEqual([], [text for story in stories for text in story.broken()])

    def walk(self, work: Work, name: str, act: Inject) -> list[Story]:
        """Inject at every step and check each run."""
        stories = at_each_step(work, name, act)
        self.assert_kept(stories)
        return stories

    def answered_by(self, behaviour: Inject) -> None:
        """Check each kind of call under one behaviour of all engines."""
        for work in (PLAIN_CHAT, KEYED_CHAT, TICKETED_CHAT):
            story = tell(work, behaviour, "upstreams misbehave")
            self.assertEqual([], story.broken())
            self.assertEqual({"unknown"}, {answer.outcome for answer in story.answers})


class ArrivalTests(DispatchCase):
    """Each arrival without a key is a request of its own, dispatched once."""

    def test_each_arrival_is_dispatched_once(self) -> None:
        """Four arrivals without faults are four dispatches."""
        story = tell(PLAIN_CHAT, no_fault, "none")
        self.assertEqual([], story.broken())
        self.assertEqual(4, story.dispatch_count)

    def test_requester_and_scheduler_killed_at_every_step(self) -> None:
        """Holder, keeper, or both die between any two steps."""
        self.walk(PLAIN_CHAT, "holder killed", lambda story: story.kill("v1"))
        self.walk(PLAIN_CHAT, "keeper killed", lambda s: s.kill(s.scheduler()))
        self.walk(PLAIN_CHAT, "both killed", lambda story: story.kill("v1", "v2"))

    def test_link_messages_lost_doubled_and_late(self) -> None:
        """Each ask, permit and release is lost, doubled, or three seconds late."""
        for name, delays_s in LINK_FAULTS:
            self.assert_kept(at_each_message(PLAIN_CHAT, name, delays_s))

    def test_requester_paused_at_every_step(self) -> None:
        """A holder that wakes after its permit, and after its deadline."""
        for pause_s in (2.0, 5.0):
            act = partial(pause_holder, pause_s=pause_s)
            self.walk(PLAIN_CHAT, f"paused {pause_s} s", act)

    def test_caller_gone_at_every_step(self) -> None:
        """A caller that goes away leaves at most one dispatch."""
        self.walk(PLAIN_CHAT, "caller gone", lambda s: s.first_scope.cancel())


class RandomFaultTests(DispatchCase):
    """Several faults at once, at random steps of a fixed seed."""

    def test_three_faults_at_random_steps(self) -> None:
        """Kills, pauses, cuts and outages together, links and store unsafe."""
        for work in (PLAIN_CHAT, KEYED_CHAT, TICKETED_CHAT):
            self.assert_kept(with_faults_at_random(work, seed=1, runs=60))


class PermitTests(DispatchCase):
    """A permit is used once, in time, or given back unused."""

    def paused_at(self, step: str, pause_s: float) -> Story:
        """Pause the first holder at a named step of its first request."""
        names = tell(PLAIN_CHAT, no_fault, "none").world.steps.names

        def inject(story: Story) -> None:
            act = partial(pause_holder, story, pause_s=pause_s)
            story.world.steps.arm(names.index(step) + 1, act)

        return tell(PLAIN_CHAT, inject, f"paused {pause_s} s at {step}")

    def test_a_permit_that_lapsed_before_dispatch_is_not_used(self) -> None:
        """The holder wakes with an old permit, asks anew, and dispatches once."""
        story = self.paused_at("connecting", 2.0)
        self.assertEqual([], story.broken())
        # Each arrival connects once, and the paused one a second time.
        self.assertEqual(5, story.world.steps.names.count("connecting"))
        self.assertEqual(4, story.dispatch_count)

    def test_a_deadline_that_passed_before_dispatch_is_not_run(self) -> None:
        """The holder wakes after the deadline and tells "not run", truly."""
        story = self.paused_at("connecting", 5.0)
        self.assertEqual([], story.broken())
        self.assertIn("deadline_in_queue", [a.error_kind for a in story.answers])
        self.assertEqual(3, story.dispatch_count)

    async def test_the_slot_of_a_lapsed_permit_is_free_again(self) -> None:
        """After a pause nothing stays in hand at the keeper."""
        story = Story(PLAIN_CHAT, "paused")
        async with trio.open_nursery() as nursery:
            await story.world.start(nursery)
            story.world.steps.arm(3, partial(pause_holder, story, pause_s=2.0))
            await story.send("v1")
            await trio.sleep(1)
            scheduler = story.world.vms[story.scheduler()].scheduler
            in_hand = [
                len(model.in_flight)
                for pool in scheduler.schedulers().values()
                for model in pool.models()
            ]
            nursery.cancel_scope.cancel()
        self.assertEqual([0, 0], in_hand)


class RetryTests(DispatchCase):
    """Another upstream is tried only while no byte has left."""

    def test_an_upstream_out_of_reach_is_passed_over(self) -> None:
        """The request goes to the other engine of the zone, or to the next zone."""
        for gone in (ENGINE_ADDRESSES[:1], ENGINE_ADDRESSES[:2]):
            act = partial(_lose, addresses=gone)
            story = tell(PLAIN_CHAT, act, f"{gone} out of reach")
            self.assertEqual([], story.broken())
            self.assertEqual([200] * 4, [answer.status for answer in story.answers])

    def test_with_no_upstream_in_reach_the_answer_is_not_run(self) -> None:
        """All attempts end before a byte leaves, and the caller is told so."""
        for work in (PLAIN_CHAT, KEYED_CHAT, TICKETED_CHAT):
            act = partial(_lose, addresses=ENGINE_ADDRESSES)
            story = tell(work, act, "all out of reach")
            self.assertEqual(0, story.dispatch_count)
            kinds = {answer.error_kind for answer in story.answers}
            self.assertLessEqual(kinds, {"upstream_unreachable", "key_in_progress"})

    def test_a_silent_connection_is_not_tried_again(self) -> None:
        """The engine took the request and never answers: unknown, once."""
        self.answered_by(lambda story: _behave(story, fall_silent))

    def test_a_broken_connection_is_not_tried_again(self) -> None:
        """The engine took the request and broke off: unknown, once."""
        self.answered_by(lambda story: _behave(story, break_off))

    async def test_the_budget_ends_repeated_attempts(self) -> None:
        """A crowd of failing requests dials little more than once each."""
        story = Story(PLAIN_CHAT, "all out of reach")
        async with trio.open_nursery() as nursery:
            await story.world.start(nursery)
            story.world.upstreams.unreachable.update(ENGINE_ADDRESSES)
            for _ in range(200):
                await story.send("v1")
            nursery.cancel_scope.cancel()
        dialled = story.world.steps.names.count("connecting")
        self.assertLessEqual(dialled, 200 * 1.1 + 20)


class TicketTests(DispatchCase):
    """A ticket lets one request run, and any doubt keeps it from running."""

    def test_without_faults_a_resend_is_told_that_it_ran(self) -> None:
        """The late resends get ``answer_not_kept``, and nothing runs again."""
        story = tell(TICKETED_CHAT, no_fault, "none")
        self.assertEqual([], story.broken())
        self.assertEqual(1, story.dispatch_count)
        self.assertEqual("answer_not_kept", story.answers[-1].error_kind)

    def test_kills_and_reboots_at_every_step(self) -> None:
        """The holder or the issuer dies, and the issuer comes back."""
        self.walk(TICKETED_CHAT, "holder killed", lambda story: story.kill("v1"))
        self.walk(TICKETED_CHAT, "issuer killed", lambda story: story.kill("v2"))
        self.walk(TICKETED_CHAT, "issuer reboots", partial(reboot, vm="v2"))
        own = TICKETED_CHAT._replace(key=ticket_of("v1"))
        self.walk(own, "holder and issuer reboots", partial(reboot, vm="v1"))

    def test_zones_cut_at_every_step(self) -> None:
        """The other zone cannot ask the issuer, so it answers "unknown"."""
        stories = self.walk(TICKETED_CHAT, "zones cut", cut_zones)
        self.assertEqual(
            {1}, {story.dispatch_count for story in stories}, "own zone decides"
        )
        kinds = {story.answers[2].error_kind for story in stories}
        self.assertIn("key_unvouched", kinds)

    def test_link_messages_lost_doubled_and_late(self) -> None:
        """Each question, verdict and notice is lost, doubled, or late."""
        for name, delays_s in LINK_FAULTS:
            self.assert_kept(at_each_message(TICKETED_CHAT, name, delays_s))

    def test_requester_paused_and_caller_gone_at_every_step(self) -> None:
        """A holder wakes late; a caller goes away at any moment."""
        act = partial(pause_holder, pause_s=2.0)
        self.walk(TICKETED_CHAT, "holder paused", act)
        self.walk(TICKETED_CHAT, "caller gone", lambda s: s.first_scope.cancel())

    def test_not_run_frees_the_ticket(self) -> None:
        """What was told "not run" runs when it is sent again under its ticket."""

        def inject(story: Story) -> None:
            unreachable = story.world.upstreams.unreachable
            unreachable.update(ENGINE_ADDRESSES)
            story.world.steps.arm(12, unreachable.clear)

        story = tell(TICKETED_CHAT, inject, "out of reach at first")
        self.assertEqual([], story.broken())
        self.assertEqual(1, story.dispatch_count)


def _lose(story: Story, *, addresses: tuple[str, ...]) -> None:
    story.world.upstreams.unreachable.update(addresses)


def _behave(story: Story, behaviour: object) -> None:
    for address in ENGINE_ADDRESSES:
        story.world.upstreams.behaviours[address] = behaviour  # type: ignore[assignment]

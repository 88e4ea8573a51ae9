"""Promise 5: a wipe or booking takes effect at most once, whatever fails."""

from functools import partial

import trio

from hemlocktrestle.claims import claim_from_json, claim_key, settle_claim
from hemlocktrestle.errors import ErrorKind, RequestError
from hemlocktrestle.ports import UpstreamAnswer, UpstreamCall
from tests.daemon.walk import (
    KEY,
    KEYED_CHAT,
    STREAMED_CHAT,
    TICKETED_CHAT,
    WIPE,
    Story,
    at_each_message,
    at_each_step,
    at_each_store_call,
    cut_zones,
    kill_holder,
    no_fault,
    outage,
    pause_holder,
    reboot,
    tell,
    with_faults_at_random,
)
from tests.support import TrioTestCase
from tests.support._store import StoreFault

WHERE = claim_key("clinics", KEY)


async def break_after_effect(call: UpstreamCall) -> UpstreamAnswer:
    """Break off after the effect, before the answer."""
    await trio.sleep(0.01)
    raise RequestError(ErrorKind.UPSTREAM_BROKEN, "broke off")


class EffectTests(TrioTestCase):
    """A fault at every step of a wipe under a key and of its resends."""

    def assert_kept(self, stories: list[Story]) -> None:
        """Check every run, and that faults were injected at all."""
        self.assertGreater(len(stories), 2)
        self.assertEqual([], [text for story in stories for text in story.broken()])

    def assert_done(self, stories: list[Story]) -> None:
        """Check also that the work was done in the end, and who was told so."""
        self.assert_kept(stories)
        undone = [story.fault for story in stories if story.dispatch_count != 1]
        self.assertEqual([], undone)

    def test_without_faults_the_resends_get_the_recorded_answer(self) -> None:
        """One effect; the late resends get the answer, byte for byte."""
        story = tell(WIPE, no_fault, "none")
        self.assert_done([story, story, story])
        bodies = {answer.body for answer in story.answers if answer.status == 201}
        self.assertEqual(1, len(bodies))
        self.assertEqual("true", story.answers[-1].headers["idempotency-replayed"])

    def test_requester_killed_at_every_step(self) -> None:
        """Resends at once and later never run what may have run."""
        self.assert_kept(at_each_step(WIPE, "holder killed", kill_holder))

    def test_requester_rebooted_at_every_step(self) -> None:
        """The holder comes back under its name, and knows nothing."""
        act = partial(reboot, vm="v1")
        self.assert_kept(at_each_step(WIPE, "holder reboots", act))

    def test_three_faults_at_random_steps(self) -> None:
        """Kills, pauses, cuts and outages together, links and store unsafe."""
        self.assert_kept(with_faults_at_random(WIPE, seed=5, runs=100))

    def test_second_vm_killed_at_every_step(self) -> None:
        """The VM of the resend, which may keep the pool, dies."""
        stories = at_each_step(WIPE, "v2 killed", lambda story: story.kill("v2"))
        self.assert_kept(stories)

    def test_whole_zone_killed_at_every_step(self) -> None:
        """Both VMs of the zone die; the other zone never runs it again."""
        stories = at_each_step(
            WIPE, "zone killed", lambda story: story.kill("v1", "v2")
        )
        self.assert_kept(stories)

    def test_store_outage_from_every_step(self) -> None:
        """During an outage of the store nothing new runs; after it, it ran once."""
        self.assert_done(at_each_step(WIPE, "outage", outage))

    def test_store_call_lost_at_every_call(self) -> None:
        """A call that does not reach the store costs at most a resend."""
        self.assert_done(at_each_store_call(WIPE, (StoreFault.LOST_CALL,)))

    def test_store_answer_lost_at_every_call(self) -> None:
        """A write that took effect without an answer is read back."""
        self.assert_done(at_each_store_call(WIPE, (StoreFault.LOST_ANSWER,)))

    def test_answer_and_readback_lost_at_every_call(self) -> None:
        """A claim that nobody runs is dropped, and a resend runs."""
        faults = (StoreFault.LOST_ANSWER, StoreFault.LOST_CALL)
        self.assert_done(at_each_store_call(WIPE, faults))

    def test_answer_lost_twice_at_every_call(self) -> None:
        """Two faults in a row of the same kind change nothing."""
        faults = (StoreFault.LOST_ANSWER, StoreFault.LOST_ANSWER)
        self.assert_done(at_each_store_call(WIPE, faults))

    def test_requester_killed_after_a_lost_answer(self) -> None:
        """Two different faults: each write's answer lost, then the holder dies."""

        def kill_later(story: Story) -> None:
            story.world.store.fault = lambda call, number: (
                StoreFault.LOST_ANSWER if number <= 3 else StoreFault.NONE
            )
            story.kill("v1")

        self.assert_kept(at_each_step(WIPE, "lost answers and a kill", kill_later))

    def test_caller_gone_at_every_step(self) -> None:
        """The work goes on, and the resends get its answer, never "unknown"."""
        stories = at_each_step(
            WIPE, "caller gone", lambda story: story.first_scope.cancel()
        )
        self.assert_done(stories)
        statuses = {story.fault: story.answers[-1].status for story in stories}
        self.assertEqual({201}, set(statuses.values()), str(statuses))

    def test_a_stream_whose_caller_left_is_recorded_whole(self) -> None:
        """The resends get the stream from its start to its end mark."""
        stories = at_each_step(
            STREAMED_CHAT, "caller gone", lambda story: story.first_scope.cancel()
        )
        self.assert_done(stories)
        for story in stories:
            last = story.answers[-1]
            self.assertEqual("complete", last.outcome, story.fault)
            self.assertIn(b"data: [DONE]", last.body, story.fault)

    def test_link_messages_lost_doubled_and_late(self) -> None:
        """Each message between VMs is lost, doubled, or three seconds late."""
        for name, delays_s in (
            ("lost", ()),
            ("doubled", (0.0005, 0.0015)),
            ("late", (3.0,)),
        ):
            self.assert_kept(at_each_message(WIPE, name, delays_s))

    def test_zones_cut_at_every_step(self) -> None:
        """The zones lose each other; the store is in reach of both."""
        self.assert_done(at_each_step(WIPE, "zones cut", cut_zones))

    def test_requester_paused_at_every_step(self) -> None:
        """A holder that wakes after its permit, and after its deadline."""
        for pause_s in (2.0, 5.0):
            act = partial(pause_holder, pause_s=pause_s)
            self.assert_done(at_each_step(WIPE, f"paused {pause_s} s", act))

    def test_lost_outcome_is_unknown_until_it_is_settled(self) -> None:
        """The ledger breaks off after the effect: unknown, also to each resend."""

        def inject(story: Story) -> None:
            for name in ("l1:1", "l2:1", "l3:1"):
                story.world.upstreams.behaviours[name] = break_after_effect

        story = tell(WIPE, inject, "ledger breaks off")
        self.assert_done([story, story, story])
        self.assertEqual({"unknown"}, {answer.outcome for answer in story.answers})

    def test_keyed_model_calls_at_every_kill_and_lost_answer(self) -> None:
        """An opaque key on a model call is claimed in the same way."""
        self.assert_kept(at_each_step(KEYED_CHAT, "holder killed", kill_holder))
        self.assert_done(at_each_store_call(KEYED_CHAT, (StoreFault.LOST_ANSWER,)))


class OtherCallerTests(TrioTestCase):
    """A key belongs to the customer, its answer to the caller."""

    async def test_another_caller_gets_neither_a_run_nor_the_answer(self) -> None:
        """Two callers of a customer hit upon the same key and body."""
        for work in (WIPE, KEYED_CHAT, TICKETED_CHAT):
            story = Story(work, "another caller")
            async with trio.open_nursery() as nursery:
                await story.world.start(nursery)
                story.key = work.key(story.world)
                first = await story.send("v1")
                other = await story.send("v2", caller="nurse")
                nursery.cancel_scope.cancel()
            self.assertEqual("complete", first.outcome)
            self.assertEqual("key_reused", other.error_kind)
            self.assertEqual(1, story.dispatch_count)


class SettleTests(TrioTestCase):
    """An operator closes what a killed holder left open."""

    async def settled(self, number: int, *, early: bool = False) -> tuple[Story, int]:
        """Kill the holder at a step, settle by the truth, and send again."""
        story = Story(WIPE, f"holder killed at step {number}")
        async with trio.open_nursery() as nursery:
            world = story.world
            await world.start(nursery)
            story.key = KEY
            world.steps.arm(number, partial(kill_holder, story))
            await story.send("v1")
            if WHERE in world.store.items:
                await trio.sleep(0 if early else 100)
                is_run = story.dispatch_count > 0
                standing = claim_from_json(world.store.items[WHERE].value)
                if standing.state.value in ("open", "unknown"):
                    await settle_claim(
                        world.store, WHERE, has_run=is_run, wall_ms=int(world.now_ms())
                    )
            last = await story.send("v3")
            nursery.cancel_scope.cancel()
        return story, last.status

    async def test_settling_leaves_one_effect_at_every_kill(self) -> None:
        """After it was settled the work ran exactly once, and resends know it."""
        for number in range(1, 12):
            story, status = await self.settled(number)
            self.assertEqual([], story.broken())
            self.assertEqual(1, story.dispatch_count, story.fault)
            self.assertIn(status, (201, 409), story.fault)

    async def test_a_claim_that_may_still_run_is_not_settled(self) -> None:
        """A paused holder could wake, so it is too early."""
        kinds = []
        try:
            await self.settled(4, early=True)
        except* RequestError as errors:
            kinds = [getattr(error, "kind", None) for error in errors.exceptions]
        self.assertEqual([ErrorKind.KEY_IN_PROGRESS], kinds)

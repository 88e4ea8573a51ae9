"""Tests of trials: requests with suspected parts go through one at a time."""

import itertools
from collections.abc import Iterable
from typing import ClassVar

import trio

from hemlocktrestle.edge._state import now_ms
from hemlocktrestle.edge.attempts._part_trials import TRIAL_MS_MAX
from hemlocktrestle.wire import PartTrial
from tests.edge.attempts.test_prompt_parts import (
    POISON,
    REPLICAS,
    Mesh,
    crash,
    prompt,
    suspicion,
)
from tests.edge.callers.test_server import STREAM, event
from tests.edge.harness import EdgeHarness, Reply, Script, answer_after
from tests.gateway.records import configuration, replica
from tests.standins.http import Connection, Request
from tests.support import TrioTestCase

NEW = "feed0"
"""A sound part that came into use with the one that crashes replicas."""

_NUMBERS = itertools.count(1)


def stream(count: int = 8, *, pause_ms: float = 20.0) -> Script:
    """Return a script that streams some events."""

    async def script(connection: Connection, request: Request) -> None:
        lines = {
            "x-attempt-id": request.headers["x-attempt-id"],
            "x-response-seal": "s",
            "content-type": "text/event-stream",
        }
        await connection.send_head(200, lines)
        for number in range(1, count + 1):
            await connection.send_chunk(event(number))
            await trio.sleep(pause_ms / 1000)
        await connection.finish()

    return script


class PartTrialCase(TrioTestCase):
    """An edge server whose replicas crash on some parts and answer all else."""

    def harness(self, *causes: str, answer: Script = stream()) -> EdgeHarness:
        """Return a server before replicas that some parts of prompts crash."""

        async def serve(connection: Connection, request: Request) -> None:
            value = request.headers["x-prompt-prefix"]
            is_bad = any(cause in value for cause in causes)
            self.crash_count += is_bad
            await (crash if is_bad else answer)(connection, request)

        self.crash_count = 0
        records = tuple(replica(name, service="assistant") for name in REPLICAS)
        scripts = dict.fromkeys(REPLICAS, serve)
        found = configuration(STREAM)
        return EdgeHarness(self, scripts, found=found, records=records)

    async def send(self, harness: EdgeHarness, parts: Iterable[str]) -> Reply:
        """Send a request that is unlike all others."""
        number = next(_NUMBERS)
        return await harness.send(
            f"/advice/{number}",
            X_Prompt_Prefix=prompt(*parts),
            X_Attempt_Id=f"t{number}",
        )

    def request_ids(self, harness: EdgeHarness) -> list[str]:
        """Return the ids of the requests that reached replicas."""
        return [request.headers["x-attempt-id"] for _, request in harness.requests]

    async def send_together(
        self, harness: EdgeHarness, *prompts: Iterable[str]
    ) -> list[int]:
        """Send requests at once and return their statuses."""
        replies: list[Reply] = []

        async def send_one(parts: Iterable[str]) -> None:
            replies.append(await self.send(harness, parts))

        async with trio.open_nursery() as replicas:
            harness._shared_nursery = replicas
            async with trio.open_nursery() as callers:
                for parts in prompts:
                    callers.start_soon(send_one, parts)
            harness._shared_nursery = None
            replicas.cancel_scope.cancel()
        return sorted(reply.status for reply in replies)


class SharedSuspicionTests(PartTrialCase):
    """Sound parts that came only with the cause are served soon.

    Guards against a sound part that is refused for an hour because it was last in the
    prompts that crashed replicas.
    """

    CASES: ClassVar = {
        "first of two": ([POISON, NEW], [POISON]),
        "last of two": ([NEW, POISON], [POISON]),
        "middle of three": (["feed1", POISON, NEW], [POISON]),
        "first of four": ([POISON, "feed1", "feed2", NEW], [POISON]),
        "third of four": (["feed1", "feed2", POISON, NEW], [POISON]),
        "two of four": (["feed1", POISON, NEW, "bad1"], [POISON, "bad1"]),
    }

    async def test_sound_requests_are_served_wherever_the_cause_stands(self) -> None:
        """At most three requests reach replicas after the fifth crash."""
        for name, (parts, causes) in self.CASES.items():
            with self.subTest(name):
                harness = self.harness(*causes)
                for _ in range(8):
                    await self.send(harness, parts)
                self.assertLessEqual(self.crash_count, 5)
                for part in parts:
                    if part in causes:
                        continue
                    replies = [await self.send(harness, [part]) for _ in range(10)]
                    self.assertEqual([200] * 10, [reply.status for reply in replies])
                self.assertLessEqual(self.crash_count, 5)
                self.assertEqual(503, (await self.send(harness, parts)).status)
                for cause in causes * 4:
                    await self.send(harness, [cause])
                self.assertLessEqual(self.crash_count, 8)
                for cause in causes:
                    self.assertEqual(503, (await self.send(harness, [cause])).status)

    async def test_two_causes_of_different_requests_are_both_found(self) -> None:
        """Each has a sound part beside it, and one more part is in all of them."""
        harness = self.harness(POISON, "bad1")
        bad = [["cafe", POISON, NEW], ["cafe", "bad1", "feed1"]]
        for number in range(16):
            await self.send(harness, bad[number % 2])
        self.assertLessEqual(self.crash_count, 8)
        for part in ("cafe", NEW, "feed1"):
            self.assertEqual(200, (await self.send(harness, [part])).status)
        for parts in bad * 2:
            await self.send(harness, parts)
        for parts in bad:
            self.assertEqual(503, (await self.send(harness, parts)).status)
        self.assertLessEqual(self.crash_count, 8)


class TurnTests(PartTrialCase):
    """Requests with suspected parts go through one at a time."""

    async def test_a_crash_ends_the_trial_of_the_cause_for_the_others(self) -> None:
        """Guards against many requests that test the same part at once."""
        harness = self.harness(POISON)
        for _ in range(4):
            await self.send(harness, [POISON, NEW])
        before = self.crash_count
        statuses = await self.send_together(harness, *([POISON],) * 6)
        self.assertEqual([502, 503, 503, 503, 503, 503], statuses)
        self.assertEqual(before + 1, self.crash_count)

    async def test_an_answer_lets_the_others_through(self) -> None:
        """They wait for the first events of the first one, not for its end."""
        slow = stream(200, pause_ms=50)
        harness = self.harness(POISON, answer=slow)
        for _ in range(4):
            await self.send(harness, [POISON, NEW])
        statuses = await self.send_together(harness, *([NEW],) * 4)
        self.assertEqual([200] * 4, statuses)

    async def test_a_long_wait_ends_with_a_time_to_come_back(self) -> None:
        """Guards against a caller that is sent away while it still has time.

        A request that waits for a slow trial is refused when only the time that an
        answer takes is left, half of its caller's patience, and has not run.  It is
        told when the trial ends at the latest.
        """
        answer = answer_after(9_000, stream())
        harness = self.harness(POISON, answer=answer)
        for _ in range(4):
            await self.send(harness, [POISON, NEW])
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.send, harness, [NEW])
            await trio.sleep(0.1)
            sent = set(self.request_ids(harness))
            started_ms = now_ms()
            reply = await self.send(harness, [NEW])
            self.assertEqual(STREAM.patience_ms / 2, round(now_ms() - started_ms, -2))
            self.assertEqual(sent, set(self.request_ids(harness)))
            nursery.cancel_scope.cancel()
        self.assertEqual(503, reply.status)
        wanted_ms = TRIAL_MS_MAX - 100 - STREAM.patience_ms / 2
        self.assertEqual(wanted_ms, round(reply.retry_after_ms, -2))

    async def test_a_caller_that_leaves_ends_its_trial(self) -> None:
        """Guards against a trial without a verdict that holds others back."""
        harness = self.harness(POISON, answer=answer_after(300, stream()))
        for _ in range(4):
            await self.send(harness, [POISON, NEW])
        await harness.send(
            "/advice/leaves",
            leave_after_ms=50,
            X_Prompt_Prefix=prompt(NEW),
            X_Attempt_Id="leaves",
        )
        self.assertEqual({}, harness.part_gate.trials._running)
        self.assertEqual(200, (await self.send(harness, [NEW])).status)


class FleetTests(TrioTestCase):
    """VMs tell each other of their trials."""

    async def mesh(self) -> Mesh:
        """Return VMs that suspect two parts alike."""
        mesh = Mesh(self, "v1", "v2", "v3")
        for number in range(2):
            blamed = suspicion(number, POISON, NEW)
            mesh.monitors["v1"]._record_suspicion(blamed, source="")
        await trio.sleep(0.1)
        return mesh

    async def job_with(self, *parts: str, request_id: str) -> object:
        """Return a request with some parts."""
        harness = EdgeHarness(self, {})
        await harness.send("/jobs/1")
        job = harness.served[0].job
        assert job is not None
        metadata = job.metadata._replace(prompt_parts=parts, request_id=request_id)
        return job._replace(metadata=metadata)

    async def begin(self, mesh: Mesh, vm: str, request_id: str) -> bool:
        """Begin a trial; return whether it may be sent within a quarter second."""
        job = await self.job_with(NEW, request_id=request_id)
        with trio.move_on_after(0.25) as scope:
            await mesh.gates[vm].trials.begin(job)  # type: ignore[arg-type]
        return not scope.cancelled_caught

    async def test_one_vm_at_a_time_tries_a_part(self) -> None:
        """Guards against a crash at each of many VMs at the same moment."""
        mesh = await self.mesh()
        self.assertTrue(await self.begin(mesh, "v1", "q1"))
        self.assertFalse(await self.begin(mesh, "v2", "q2"))
        mesh.gates["v1"].trials.end_attempt("q1")
        self.assertTrue(await self.begin(mesh, "v3", "q3"))
        self.assertFalse(await self.begin(mesh, "v1", "q4"))

    async def test_an_answer_acquits_at_all_vms_at_once(self) -> None:
        """They need not wait for the next heartbeat."""
        mesh = await self.mesh()
        self.assertTrue(await self.begin(mesh, "v1", "q1"))
        mesh.gates["v1"].trials.acquit("q1", [NEW])
        for number, vm in enumerate(mesh.gates):
            self.assertTrue(await self.begin(mesh, vm, f"p{number}"))
            self.assertEqual({}, mesh.gates[vm].trials._running)

    async def test_a_trial_of_a_vm_that_died_ends(self) -> None:
        """Guards against a part that nobody may try because one VM is gone."""
        mesh = await self.mesh()
        mesh.gates["v2"].on_trial("v9", PartTrial("q9", (POISON, NEW), True))
        self.assertFalse(await self.begin(mesh, "v2", "q1"))
        await trio.sleep(TRIAL_MS_MAX / 1000)
        self.assertTrue(await self.begin(mesh, "v2", "q2"))

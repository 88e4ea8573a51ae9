"""Tests of requests that share a part of their prompts which crashes replicas."""

import itertools
from typing import Any

import trio

from hemlocktrestle.edge._state import now_ms
from hemlocktrestle.edge.attempts import _crash_monitor
from hemlocktrestle.edge.attempts._crash_monitor import CrashMonitor
from hemlocktrestle.edge.attempts._part_gate import PartGate
from hemlocktrestle.edge.placing._placement import AttemptEnd, AttemptReport, Placement
from hemlocktrestle.errors import ErrorKind, RequestError
from hemlocktrestle.gateway import ReplicaUpdate
from hemlocktrestle.quarantine import QuarantineRegistry
from hemlocktrestle.wire import Heartbeat, Message, Suspicion, decode, encode
from tests.edge.callers.test_server import STREAM, stream_of
from tests.edge.harness import EdgeHarness, Script, answer_ok
from tests.gateway.records import at, configuration, replica
from tests.standins.http import Connection, Request
from tests.support import TrioTestCase

POISON = "bad0"
"""The part that crashes each replica that begins to answer a prompt with it."""

REPLICAS = tuple(f"r{number}" for number in range(20))
"""More replicas than crash in any of the tests."""

_COUNTER = itertools.count(0x1000)


def prompt(*parts: str) -> str:
    """Return the header value of a prompt whose last part is in no other."""
    return ",".join(f"{part}:100" for part in (*parts, f"{next(_COUNTER):x}"))


async def crash(connection: Connection, request: Request) -> None:
    """Send the head of a stream and close the connection, as a crash does."""
    lines = {
        "x-attempt-id": request.headers.get("x-attempt-id", ""),
        "x-response-seal": "seal",
        "content-type": "text/event-stream",
        "transfer-encoding": "chunked",
    }
    await connection.send_head(200, lines)
    await connection.stream.aclose()


class CrashingPartTests(TrioTestCase):
    """Requests with a part that crashes replicas are soon sent to none."""

    def harness(self, script: Script) -> EdgeHarness:
        """Return an edge server whose replicas all follow one script."""
        records = tuple(replica(name, service="assistant") for name in REPLICAS)
        scripts = dict.fromkeys(REPLICAS, script)
        found = configuration(STREAM)
        return EdgeHarness(self, scripts, found=found, records=records)

    async def test_requests_that_share_a_crashing_part_are_refused(self) -> None:
        """Guards against one part that ends replica after replica.

        No two of the requests are alike, so a registry of whole requests counts one
        crash for each of them and refuses none.
        """
        harness = self.harness(crash)
        statuses = []
        for number in range(8):
            value = prompt("cafe", POISON, f"e{number}")
            reply = await harness.send(f"/advice/{number}", x_prompt_prefix=value)
            statuses.append(reply.status)
        self.assertEqual([503] * 3, statuses[-3:])
        self.assertLessEqual(len(harness.reached_replicas()), 5)

    async def send(self, harness: EdgeHarness, number: int, *parts: str) -> int:
        """Send a request that is unlike all others and return its status."""
        value = prompt(*parts)
        reply = await harness.send(f"/advice/{number}", x_prompt_prefix=value)
        return reply.status

    async def test_a_request_is_not_repeated_after_its_crash(self) -> None:
        """Guards against a second replica that ends under the same request."""
        harness = self.harness(crash)
        status = await self.send(harness, 1, "cafe", POISON)
        self.assertEqual((502, 1), (status, len(harness.reached_replicas())))

    async def test_sound_requests_with_the_same_first_part_are_served(self) -> None:
        """Guards against refusals for the part that sound requests share."""
        harness = self.harness(crash)
        for number in range(4):
            await self.send(harness, number, "cafe", POISON)
        harness.scripts = dict.fromkeys(REPLICAS, stream_of(range(1, 9)))
        statuses = [await self.send(harness, 9, "cafe", f"d{n}") for n in range(5)]
        self.assertEqual([200] * 5, statuses)
        self.assertEqual(503, await self.send(harness, 10, "cafe", POISON))

    async def test_a_stream_that_has_begun_is_not_blamed(self) -> None:
        """Guards against refusals of streams that were cut by another's crash."""
        harness = self.harness(stream_of(range(1, 4), end="cut"))
        for number in range(6):
            await self.send(harness, number, "cafe", "d1")
        self.assertEqual(0, harness.part_gate.quarantined_count)

    async def test_a_replica_that_leaves_is_not_blamed_on_a_part(self) -> None:
        """A draining replica that closes its connections has not crashed."""

        async def leave(connection: Connection, request: Request) -> None:
            name = request.headers["x-expect-instance"]
            record = replica(name, service="assistant", is_draining=True)
            update = ReplicaUpdate(name, at(2), record)
            harness.state.replicas.apply_update(update)
            await crash(connection, request)

        harness = self.harness(leave)
        for number in range(4):
            await self.send(harness, number, POISON)
        self.assertEqual(0, harness.part_gate.quarantined_count)

    async def test_news_are_heeded_while_a_request_waits(self) -> None:
        """Guards against sends of requests that wait while the part is quarantined."""
        harness = self.harness(answer_ok)
        placer: Any = harness.placer
        choose = placer.obtain

        async def obtain(job: Any, *, excluded: frozenset[str]) -> Placement:
            for number in (1, 2):
                record(harness, suspicion(number))
            placement: Placement = await choose(job, excluded=excluded)
            return placement

        placer.obtain = obtain
        self.assertEqual(503, await self.send(harness, 3, POISON))
        self.assertEqual([], harness.reached_replicas())
        self.assertEqual({}, placer._outstanding)

    async def test_a_late_answer_lifts_the_quarantine(self) -> None:
        """A request that was in flight when its part was blamed acquits it."""
        answer = stream_of(range(1, 9))

        async def blame_and_answer(connection: Connection, request: Request) -> None:
            for number in (1, 2):
                blamed = suspicion(number, "cafe")
                record(harness, blamed)
            self.assertEqual(1, harness.part_gate.quarantined_count)
            await answer(connection, request)

        harness = self.harness(blame_and_answer)
        self.assertEqual(200, await self.send(harness, 1, "cafe"))
        self.assertEqual(0, harness.part_gate.quarantined_count)
        harness.scripts = dict.fromkeys(REPLICAS, answer)
        self.assertEqual(200, await self.send(harness, 2, "cafe"))


def record(harness: EdgeHarness, blamed: Suspicion) -> None:
    """Record a crash that another VM noticed."""
    harness.part_gate.record_crash(blamed, crash=f"{blamed.upstream} #1", source="v2")


def suspicion(number: int, *parts: str) -> Suspicion:
    """Return the message of a crash; the number tells request and replica apart."""
    return Suspicion(
        "assistant", f"f{number}", f"u{number}", f"q{number}", parts or (POISON,), True
    )


class Mesh:
    """VMs with a crash monitor each, whose messages reach all others at once."""

    def __init__(self, case: TrioTestCase, *names: str) -> None:
        self.sent: list[Message] = []
        self.gates: dict[str, PartGate] = {}
        self.monitors: dict[str, CrashMonitor] = {}
        self._case = case
        for name in names:
            self.start(name)

    def start(self, name: str) -> None:
        """Start a VM that knows nothing; its links open if there are others."""
        harness = EdgeHarness(self._case, {"r1": answer_ok, "r2": answer_ok})
        self.gates[name] = harness.part_gate
        links: Any = _Links(self, name)
        self.monitors[name] = CrashMonitor(
            QuarantineRegistry(), links, harness.part_gate
        )
        for other in self.monitors.values():
            if other is not self.monitors[name]:
                other.on_link_opened(name)

    def deliver(self, source: str, vm: str, message: Message) -> None:
        """Deliver a message as it comes over a link."""
        self.sent.append(message)
        self.monitors[vm].on_message(source, decode(encode(message)))

    def exchange_heartbeats(self) -> None:
        """Let each VM hear what the others saw answered."""
        for source, gate in self.gates.items():
            beat = decode(
                encode(Heartbeat(0, "", 0, False, sound_parts=gate.sound_parts()))
            )
            assert isinstance(beat, Heartbeat)
            for vm, other in self.gates.items():
                if vm != source:
                    other.on_heartbeat(source, beat)

    def quarantined(self) -> dict[str, int]:
        """Return the number of quarantined parts by VM."""
        return {name: gate.quarantined_count for name, gate in self.gates.items()}


class _Links:
    def __init__(self, mesh: Mesh, name: str) -> None:
        self._mesh = mesh
        self._name = name

    def broadcast(self, message: Message, *, skip: str = "") -> None:
        for vm in self._mesh.monitors:
            if vm not in {skip, self._name}:
                self._mesh.deliver(self._name, vm, message)

    def reply(self, vm: str, message: Message) -> bool:
        self._mesh.deliver(self._name, vm, message)
        return True


class MeshTests(TrioTestCase):
    """What one VM learns of a part reaches the others."""

    async def test_crashes_at_different_vms_add_up(self) -> None:
        """Guards against crashes that each VM has to see by itself."""
        mesh = Mesh(self, "v1", "v2", "v3")
        for number, name in enumerate(("v1", "v2")):
            mesh.monitors[name]._record_suspicion(suspicion(number), source="")
        self.assertEqual({"v1": 1, "v2": 1, "v3": 1}, mesh.quarantined())
        self.assertLessEqual(len(mesh.sent), 2 * 2 * 3)

    async def test_a_vm_that_restarts_learns_from_the_others(self) -> None:
        """Guards against crashes that begin anew with each restart of a VM."""
        mesh = Mesh(self, "v1", "v2")
        for number in (1, 2):
            mesh.monitors["v1"]._record_suspicion(suspicion(number), source="")
        await trio.sleep(5)
        mesh.sent.clear()
        mesh.start("v2")
        self.assertEqual({"v1": 1, "v2": 1}, mesh.quarantined())
        self.assertEqual(2, len(mesh.sent))

    async def test_a_vm_that_saw_a_part_answered_acquits_it_everywhere(self) -> None:
        """Guards against a sound part that is refused where nobody could answer it."""
        mesh = Mesh(self, "v1", "v2", "v3")
        for number in (1, 2):
            blamed = suspicion(number, "cafe")
            mesh.monitors["v1"]._record_suspicion(blamed, source="")
        await trio.sleep(1)
        now = now_ms()
        mesh.gates["v2"]._parts.record_sound(["cafe"], at_ms=now, now_ms=now)
        mesh.exchange_heartbeats()
        self.assertEqual({"v1": 0, "v2": 0, "v3": 0}, mesh.quarantined())

    async def test_a_vm_that_restarts_blames_no_sound_part(self) -> None:
        """Guards against a shared part refused by the only VM that saw no answer."""
        mesh = Mesh(self, "v1", "v2")
        for number in (1, 2):
            now = now_ms()
            mesh.gates["v1"]._parts.record_sound(["cafe"], at_ms=now, now_ms=now)
            await trio.sleep(0.1)
            blamed = suspicion(number, "cafe")
            mesh.monitors["v1"]._record_suspicion(blamed, source="")
        self.assertEqual(0, mesh.quarantined()["v1"])
        mesh.start("v2")
        self.assertEqual({"v1": 0, "v2": 0}, mesh.quarantined())

    async def probe(self, failure: RequestError | None) -> dict[str, int]:
        """Break two connections under requests of one part, and probe the replicas."""

        async def open_connection(address: str) -> trio.abc.Stream:
            if failure is None:
                return trio.testing.memory_stream_pair()[0]
            raise failure

        self.patch(_crash_monitor, "open_connection", open_connection)
        mesh = Mesh(self, "v1", "v2")
        harness = EdgeHarness(self, {"r1": answer_ok})
        await harness.send("/jobs/1")
        job = harness.served[0].job
        assert job is not None
        report = AttemptReport(AttemptEnd.BROKEN, 0.0, 9.0, 0, 200)
        monitor = mesh.monitors["v1"]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(monitor.run)
            for name in ("r1", "r2"):
                other = job._replace(
                    metadata=job.metadata._replace(prompt_parts=(POISON,)),
                    fingerprint=name,
                )
                place = Placement("", name, name, "", 0.0)
                monitor.on_replica_disconnected(other, place, report)
                await mesh.gates["v1"].wait_for_verdict(other, place)
            nursery.cancel_scope.cancel()
        return mesh.quarantined()

    async def test_replicas_that_refuse_the_probe_have_crashed(self) -> None:
        """Both VMs refuse the part as soon as the probes have ended."""
        nobody = RequestError(ErrorKind.UPSTREAM_UNREACHABLE, "nobody there")
        self.assertEqual({"v1": 1, "v2": 1}, await self.probe(nobody))

    async def test_resets_are_no_crashes(self) -> None:
        """Guards against parts that are blamed for connections that were reset."""
        self.assertEqual({"v1": 0, "v2": 0}, await self.probe(None))

"""Tests of what is said of a request that is not sent."""

import json
from typing import Any

import trio

from hemlocktrestle.edge._fleet import EdgeFleet
from hemlocktrestle.edge._state import EdgeState, now_ms
from hemlocktrestle.edge.callers._answer_listener import AnswerListener
from hemlocktrestle.edge.callers._quota_gate import EdgeQuotas
from hemlocktrestle.edge.placing._permit_placer import PermitPlacer
from hemlocktrestle.edge.placing._request_preview import RequestPreview
from hemlocktrestle.edge.placing._way_planner import WayPlanner
from hemlocktrestle.edge.store._registration import VmEntry
from hemlocktrestle.gateway import FleetSnapshot, Target
from hemlocktrestle.locality import RoundTrips
from hemlocktrestle.peers import SchedulerTask
from hemlocktrestle.platform import decode_settings
from hemlocktrestle.wire import Message, Withdraw
from tests.gateway.records import configuration, customer, replica_update, route
from tests.peers.test_scheduler_task import ask
from tests.platform.documents import SETTINGS
from tests.support import TrioTestCase

QUERY = b"host=callers.example&path=/a/1&customer=clinics&prompt_tokens=100"


class PreviewTests(TrioTestCase):
    """A request is explained from the same decisions, and nothing is spent on it."""

    def preview(self) -> RequestPreview:
        """Return the preview of a VM that schedules two replicas of its region."""
        self.sent: list[Message] = []

        def reply(vm: str, message: Message) -> bool:
            self.sent.append(message)
            return True

        zones = {"z1": "north", "z2": "north", "z3": "south"}
        state = EdgeState(
            decode_settings({**SETTINGS, "zones": zones}, source="test"),
            fleet=lambda customer=None: FleetSnapshot(1, 1, {}),
        )
        found = route("/a/", targets=(Target("assistant", 1.0),), is_public=False)
        limited = customer(rate_per_s=100.0, burst=10.0)
        state.configuration = configuration(found, customers=(limited,))
        state.has_loaded_vms = True
        for name, zone in (("r1", "z1"), ("r2", "z2")):
            state.replicas.apply_update(
                replica_update(name, 1, service="assistant", zone=zone, slots=2)
            )
        entry = VmEntry("vm-1", "z1", "north", "10.0.0.1:1", "b1")
        fleet = EdgeFleet(state, entry)
        self.task = SchedulerTask(
            fleet.membership,
            reply=reply,
            now_ms=now_ms,
            policy=lambda: "time_left",
            gate=EdgeQuotas(state),
        )
        fleet.scheduler_task = self.task
        fleet.sync()
        unused: Any = None
        ways = WayPlanner(fleet, RoundTrips())
        placer = PermitPlacer(unused, fleet, unused, EdgeQuotas(state), ways)
        self.state, self.fleet = state, fleet
        return RequestPreview(state, fleet, placer, self.task)

    def ask(self, preview: RequestPreview, query: bytes = QUERY) -> dict[str, Any]:
        """Return the answer to a query."""
        status, _, body = preview.answer(query)
        self.assertEqual(200, status, body.decode())
        found: dict[str, Any] = json.loads(body)
        return found

    def fill(self, count: int) -> None:
        """Let a number of requests come to the scheduler."""
        for number in range(count):
            asked = ask(f"a{number}")._replace(pool="assistant", zone="z1")
            self.task.on_message("vm-2", asked)
        self.task._process_inbox()
        self.fleet.heartbeat()

    async def test_the_replica_and_the_reason_are_told(self) -> None:
        preview = self.preview()
        self.fill(1)
        found = self.ask(preview)
        self.assertEqual(("sent", "r2"), (found["outcome"], found["replica"]))
        self.assertEqual("sooner", found["reason"])
        self.assertEqual(("vm-1", ["north"]), (found["scheduler"], found["regions"]))

    async def test_another_zone_can_be_asked_for(self) -> None:
        preview = self.preview()
        self.fill(1)
        self.task._schedulers["assistant"].withdraw(
            Withdraw("a0", "assistant"), now_ms()
        )
        found = [
            self.ask(preview, QUERY + b"&zone=" + zone)["replica"]
            for zone in (b"z1", b"z2")
        ]
        self.assertEqual(["r1", "r2"], found)

    async def test_a_full_pool_tells_its_queue(self) -> None:
        preview = self.preview()
        self.fill(6)
        found = self.ask(preview)
        self.assertEqual(("queued", 2), (found["outcome"], found["queued_count"]))

    async def test_refusals_name_their_kind(self) -> None:
        preview = self.preview()
        for query, kind in (
            (b"host=callers.example&path=/b/1", "unknown_route"),
            (b"host=callers.example&path=/a/1", "unknown_token"),
        ):
            found = self.ask(preview, query)
            self.assertEqual(("refused", kind), (found["outcome"], found["reason"]))

    async def test_a_spent_quota_is_told(self) -> None:
        preview = self.preview()
        quotas = EdgeQuotas(self.state)
        found = configuration_customer(self.state)
        while quotas.spend(found, 500, request_id="r") is None:
            pass
        asked = self.ask(preview, QUERY + b"&output_tokens=9000")
        self.assertEqual("rate_limited", asked["reason"])

    async def test_nothing_is_sent_or_spent(self) -> None:
        """Guards against a question that takes a slot or a caller's quota."""
        preview = self.preview()
        self.fill(1)
        before = (self.task.summaries(), self.state.quotas.demands(now_ms()))
        sent = list(self.sent)
        for _ in range(20):
            self.ask(preview)
        after = (self.task.summaries(), self.state.quotas.demands(now_ms()))
        self.assertEqual((before, sent), (after, self.sent))
        self.assertEqual({}, self.state.retries_remaining())

    async def test_a_wrong_query_is_answered(self) -> None:
        preview = self.preview()
        for query in (b"", b"host=h", QUERY + b"&x=1", QUERY + b"&deadline_ms=-1"):
            self.assertEqual(400, preview.answer(query)[0])

    async def test_it_is_served_at_the_metrics_address(self) -> None:
        preview = self.preview()
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                AnswerListener({}, queries={b"/where": preview.answer}).run,
                listeners[0],
            )
            port = listeners[0].socket.getsockname()[1]
            stream = await trio.open_tcp_stream("127.0.0.1", port)
            await stream.send_all(
                b"GET /where?" + QUERY + b" HTTP/1.1\r\nhost: x\r\n\r\n"
            )
            answer = await stream.receive_some(4_096)
            nursery.cancel_scope.cancel()
        self.assertTrue(answer.startswith(b"HTTP/1.1 200"))
        self.assertIn(b'"route": "jobs"', answer)


def configuration_customer(state: EdgeState) -> Any:
    """Return the only customer of the configuration in force."""
    assert state.configuration is not None
    return state.configuration.customers["clinics"]

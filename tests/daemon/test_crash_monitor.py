"""Tests of the quarantine of requests that crash upstreams, over several VMs."""

import json
from typing import Any

import trio
from prometheus_client import CollectorRegistry

from hemlocktrestle.daemon import _quarantine_routes
from hemlocktrestle.daemon._operators import ROUTES, OperatorsApp
from hemlocktrestle.entry import CallerRequest
from hemlocktrestle.tree import TreeLog
from tests.support import (
    CHAT,
    Reply,
    Scene,
    TrioTestCase,
    bearer,
    chat_body,
    open_scene,
)
from tests.support._checks import duplicate_dispatches, false_not_run_reports

CRASHING_PROMPT = "CRASH-UPSTREAM"
RESENDS_COUNT = 12


async def call(scene: Scene, vm: str, text: str, **fields: Any) -> Reply:
    """Make one model call through a VM."""
    body = chat_body(text, **fields)
    return await scene.connect(vm).call("POST", CHAT, body, authorization=bearer())


async def resend_crashing_chat(scene: Scene) -> list[Reply]:
    """Send a crashing chat repeatedly, alternating between the VMs."""
    replies = []
    for number in range(RESENDS_COUNT):
        vm = f"v{number % 2 + 1}"
        replies.append(await call(scene, vm, CRASHING_PROMPT, max_tokens=number + 1))
        await trio.sleep(0.1)
    return replies


def kind_of(reply: Reply) -> str:
    """Return the error kind of an answer."""
    return str(json.loads(reply.body)["error"]["kind"])


class CrashTests(TrioTestCase):
    """A chat that crashes upstreams is refused; those beside it are not."""

    async def test_at_most_two_of_three_upstreams_die(self) -> None:
        """A crashing chat is refused by every VM after its second crash."""
        async with open_scene(engine_count=3) as scene:
            replies = await resend_crashing_chat(scene)
            alive = [
                name for name in scene.engines if f"{name}:1" in scene.network.handlers
            ]
            after = await call(scene, "v1", "harmless")
            ids = scene.dispatched_ids()
        self.assertEqual(1, len(alive))
        self.assertEqual("quarantined", kind_of(replies[-1]))
        self.assertEqual((422, "not-run"), (replies[-1].status, replies[-1].outcome))
        self.assertEqual("complete", after.outcome)
        self.assertEqual([], false_not_run_reports(replies, ids))
        self.assertEqual([], duplicate_dispatches(ids))

    async def test_neighbours_get_unknown_and_run_again(self) -> None:
        """Chats beside the crashing one get "unknown", then run and are cleared."""
        first: list[Reply] = []

        async def neighbour(scene: Scene, number: int) -> None:
            text = f"neighbour {number}"
            first.append(await call(scene, "v1", text, max_tokens=100))

        async with open_scene(engine_count=3) as scene:
            async with trio.open_nursery() as nursery:
                for number in range(9):
                    nursery.start_soon(neighbour, scene, number)
                await trio.sleep(0.3)
                nursery.start_soon(call, scene, "v2", CRASHING_PROMPT)
            lost = [reply for reply in first if reply.outcome != "complete"]
            suspected = scene.world.vms["v2"].crash_monitor.entries()
            again = [
                await call(scene, "v2", f"neighbour {number}") for number in range(9)
            ]
            await trio.sleep(0.1)
            left = [
                entry.request_id
                for vm in scene.world.vms.values()
                for entry in vm.crash_monitor.entries()
            ]
            self.assertEqual([], false_not_run_reports(first, scene.dispatched_ids()))
        self.assertGreater(len(lost), 0)
        self.assertEqual({"unknown"}, {reply.outcome for reply in lost})
        self.assertEqual(len(lost) + 1, len(suspected))
        self.assertEqual({"complete"}, {reply.outcome for reply in again})
        self.assertEqual(2, len(left), "only the crashing chat is still suspected")

    async def test_a_mere_reset_is_no_crash(self) -> None:
        """A broken connection to a reachable upstream raises no suspicion."""
        async with open_scene(engine_count=1) as scene:
            scene.engines["e1"].faults["exit_on_crash"] = False
            await call(scene, "v1", CRASHING_PROMPT)
            self.assertEqual([], scene.world.vms["v1"].crash_monitor.entries())

    async def test_suspects_run_one_at_a_time(self) -> None:
        """Two suspected chats are never in one upstream's batch."""
        async with open_scene() as scene:
            monitor = scene.world.vms["v1"].crash_monitor
            scene.crash("e2")
            for text in ("one", "two"):
                await monitor.on_connection_broken(
                    "assistant",
                    chat_body(text),
                    upstream="e2",
                    address="e2:1",
                    request_id="r",
                )
            async with trio.open_nursery() as nursery:
                for text in ("one", "two"):
                    nursery.start_soon(call, scene, "v1", text)
                await trio.sleep(0.02)
                in_batch = scene.engines["e1"].slots.borrowed_tokens
            self.assertLessEqual(in_batch, 1)
            self.assertEqual(2, len(scene.engines["e1"].log))


class OperatorTests(TrioTestCase):
    """Operators can list the quarantine, and lift it in the whole zone."""

    async def test_list_and_lift(self) -> None:
        """A chat whose quarantine was lifted through one VM runs through another."""
        async with open_scene(engine_count=3) as scene:
            await resend_crashing_chat(scene)
            app = operators_app(scene)
            entries = ask(app, "GET", "/ops/quarantine")["entries"]
            self.assertEqual([True], [entry["is_quarantined"] for entry in entries])
            path = "/ops/quarantine/lift?fingerprint=" + entries[0]["fingerprint"]
            self.assertTrue(ask(app, "POST", path)["is_lifted"])
            self.assertFalse(ask(app, "POST", path)["is_lifted"])
            await trio.sleep(0.1)
            self.assertEqual([], scene.world.vms["v2"].crash_monitor.entries())


def operators_app(scene: Scene) -> OperatorsApp:
    """Return the operators' application of the first VM."""
    app = OperatorsApp(
        token="t",
        is_ready=lambda: True,
        status=dict,
        drain=lambda: None,
        tree=TreeLog().page,
        registry=CollectorRegistry(),
    )
    app.crash_monitor = scene.world.vms["v1"].crash_monitor
    return app


def ask(app: OperatorsApp, method: str, target: str) -> dict[str, Any]:
    """Call an operators' route."""
    assert _quarantine_routes.__name__
    _, handler = ROUTES[(method, target.partition("?")[0])]
    request = CallerRequest("", method, target, (), b"", 0)
    answer: dict[str, Any] = json.loads(handler(app, request)[1])
    return answer

"""Tests of the commands on the users' platform, and of ``explain``."""

import json
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

from testtools import TestCase

from hemlocktrestle.cli import _platform_commands
from hemlocktrestle.cli.__main__ import build_parser
from hemlocktrestle.cli._context import Context
from hemlocktrestle.cli._explain import explain, read_lines
from hemlocktrestle.errors import ErrorKind, RequestError
from hemlocktrestle.gateway import StoreRevision
from hemlocktrestle.platform import Item, Page
from tests.gateway.records import at
from tests.platform.documents import CONFIGURATION, REGISTRATION, SETTINGS, as_bytes
from tests.support import TrioTestCase


class _Store:
    """A stand-in for the client of the platform's store."""

    items: tuple[Item, ...] = ()

    def __init__(self, address: str) -> None:
        self.address = address

    async def __aenter__(self) -> "_Store":
        return self

    async def __aexit__(self, *args: object) -> None:
        return None

    async def get(self, key: str) -> tuple[Item | None, StoreRevision]:
        """Return one item."""
        found = [item for item in self.items if item.key == key]
        return (found[0] if found else None), at(40)

    async def list(self, prefix: str) -> Page:
        """Return the items under a prefix."""
        return Page(
            tuple(item for item in self.items if item.key.startswith(prefix)), at(40)
        )


class PlatformCommandsTests(TrioTestCase):
    """Operators read the store's content, and validate files before writing them."""

    def setUp(self) -> None:
        """Fill the store, and collect the tool's output."""
        super().setUp()
        self.printed: list[str] = []
        self.patch(_platform_commands, "PlatformStore", _Store)
        vm = {"vm": "vm-1", "zone": "z1", "region": "north", "address": "10.0.0.1:7600"}
        self.patch(
            _Store,
            "items",
            (
                Item("op/config", as_bytes(CONFIGURATION), at(30)),
                Item("servers/i-1", as_bytes(REGISTRATION), at(31)),
                Item("servers/i-2", b"torn", at(32)),
                Item("hemlocktrestle/vms/vm-1", as_bytes(vm), at(33)),
            ),
        )

    async def run_tool(self, *words: str) -> Any:
        """Run a command line, and return its JSON output."""
        options = build_parser().parse_args(["--json", *words])
        context = Context(options, None, self.printed.append)  # type: ignore[arg-type]
        self.assertEqual(0, await options.command.run(context))
        return json.loads(self.printed[-1])

    async def test_the_store_is_shown(self) -> None:
        """Configuration, replicas and VMs are shown; an invalid entry is named."""
        shown = await self.run_tool("platform", "status", "--at", "x:1")
        self.assertEqual((7, ["clinics"]), (shown["version"], shown["customers"]))
        shown = await self.run_tool("platform", "upstreams", "--at", "x:1")
        self.assertEqual("10.128.0.9:8080", shown["i-1"]["address"])
        self.assertIn("i-2", shown["i-2"]["error"])
        shown = await self.run_tool("platform", "vms", "--at", "x:1")
        self.assertEqual("north", shown["vm-1"]["region"])

    async def test_the_rules_for_a_request_are_shown(self) -> None:
        """The route and the customer's quota are shown."""
        words = ("platform", "explain", "--at", "x:1", "callers.example", "/advice/1")
        shown = await self.run_tool(*words, "--customer", "clinics")
        self.assertEqual(("r-stream", True), (shown["route"], shown["may_resume"]))
        self.assertEqual(140771, shown["rate_per_s"])

    async def test_files_are_checked(self) -> None:
        """An invalid configuration raises an error that names the field."""
        with TemporaryDirectory() as folder:
            path = Path(folder) / "config.json"
            path.write_bytes(as_bytes(CONFIGURATION))
            words = ("platform", "validate-configuration", str(path))
            self.assertEqual({"version": 7}, await self.run_tool(*words))
            path.write_bytes(as_bytes({**CONFIGURATION, "version": "x"}))
            try:
                await self.run_tool(*words)
            except RequestError as error:
                self.assertIn("version", error.message)
            else:
                self.fail("a wrong configuration was accepted")
            self.assertIn("nodeName", SETTINGS)


def line(event: str, at: int, **fields: Any) -> dict[str, Any]:
    """Return a log line of request ``r1`` on ``vm-1``."""
    stamp = f"2026-01-01T00:00:{at:02}"
    return {"event": event, "vm": "vm-1", "request": "r1", "timestamp": stamp, **fields}


class ExplainTests(TestCase):
    """The log lines of a request are found, and its cause is named."""

    def test_lines_of_all_vms_come_in_order(self) -> None:
        """The scheduler's refusal is attributed to the request of the refused ask."""
        refusal = line(
            "ask_refused", 3, ask="vm-1/7.0", vm="vm-2", in_hand={"i": "2/2"}
        )
        del refusal["request"]
        found = explain(
            "r1",
            [
                line("request_ended", 4, outcome="deadline_in_queue", total_ms=400),
                refusal,
                line("request_asked", 1, ask="vm-1/7"),
                {**line("request_ended", 2), "request": "other"},
            ],
        )
        events = [entry["event"] for entry in found.lines]
        self.assertEqual(["request_asked", "ask_refused", "request_ended"], events)
        self.assertIn("400 ms", found.cause)
        self.assertIn("2/2", found.cause)

    def test_each_outcome_has_a_cause(self) -> None:
        """Each outcome is described, also an unknown one and a log that ends early."""
        outcomes = {
            "answered": "answered with",
            "shed": "told to come back after",
            "deadline_unmeetable": "come too late",
            "rate_limited": "quota",
            "upstream_broken": "not repeated",
            "deadline_running": "Its time ended",
            "caller_gone": "caller left",
            "quarantined": "crashed replicas",
            "unknown_route": "unknown_route",
        }
        for outcome, text in outcomes.items():
            cause = explain("r1", [line("request_ended", 1, outcome=outcome)]).cause
            self.assertIn(text, cause)
        self.assertIn("end before", explain("r1", [line("request_admitted", 1)]).cause)

    def test_a_refusal_for_a_part_names_the_crashes(self) -> None:
        """The cause names the part, and the crashes that it was blamed for."""
        refusal = line("part_refused", 1, part="bad0", crashes={"i-1/7": "q1"})
        end = line("request_ended", 2, outcome="quarantined")
        cause = explain("r1", [refusal, end]).cause
        self.assertIn("bad0", cause)
        self.assertIn("q1", cause)

    def test_an_unknown_id_or_file_raises(self) -> None:
        """An unknown request id, or a missing file, raises an error."""
        for call in (
            lambda: explain("r9", [line("request_ended", 1)]),
            lambda: read_lines([Path("/does/not/exist")]),
        ):
            try:
                call()
            except RequestError as error:
                self.assertIs(ErrorKind.SETTINGS_INVALID, error.kind)
            else:
                self.fail("nothing was raised")

    def test_other_lines_in_a_file_are_skipped(self) -> None:
        """Tracebacks, blank lines and a log collector's prefixes are skipped."""
        with TemporaryDirectory() as folder:
            path = Path(folder) / "vm.log"
            text = f"Traceback\n\n{{broken\n12.5 vm-1 {json.dumps(line('x', 1))}\n"
            path.write_text(text, encoding="utf-8")
            self.assertEqual(["x"], [entry["event"] for entry in read_lines([path])])

"""Tests of the command that explains where a request would go."""

import json
from typing import Any
from urllib.parse import parse_qs

import trio
from testtools import ExpectedException
from testtools.matchers import MatchesStructure

from hemlocktrestle.cli.__main__ import build_parser
from hemlocktrestle.cli._context import Context
from hemlocktrestle.edge.callers._answer_listener import AnswerListener
from hemlocktrestle.errors import ErrorKind, RequestError
from tests.support import TrioTestCase

WORDS = ("callers.example", "/a/1", "--customer", "clinics", "--prompt-tokens", "7")


class WhereTests(TrioTestCase):
    """The tool asks a VM at its metrics address, and prints what it says."""

    async def run_tool(self, *words: str, status: int = 200) -> list[str]:
        """Run the command against a VM that answers with the query it got."""
        printed: list[str] = []

        def answer(query: bytes) -> tuple[int, bytes, bytes]:
            fields: dict[str, Any] = dict(parse_qs(query.decode()))
            fields["options"] = [{"region": "north", "wait_ms": 3}]
            return status, b"application/json", json.dumps(fields).encode()

        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listeners[0].socket.getsockname()[1]
        async with trio.open_nursery() as nursery:
            listener = AnswerListener({}, queries={b"/where": answer})
            nursery.start_soon(listener.run, listeners[0])
            words = (*words, "where", "--at", f"127.0.0.1:{port}", *WORDS)
            options = build_parser().parse_args(words)
            context = Context(options, None, printed.append)  # type: ignore[arg-type]
            self.assertEqual(0, await options.command.run(context))
            nursery.cancel_scope.cancel()
        return printed

    async def test_the_request_is_described(self) -> None:
        found = json.loads((await self.run_tool("--json"))[0])
        self.assertEqual((["/a/1"], ["clinics"]), (found["path"], found["customer"]))
        self.assertEqual(["7"], found["prompt_tokens"])
        self.assertNotIn("deadline_ms", found)

    async def test_text_has_a_line_for_each_figure(self) -> None:
        lines = await self.run_tool()
        self.assertIn("options: region=north wait_ms=3", lines)

    async def test_a_vm_that_is_not_reached_is_an_error(self) -> None:
        words = ("where", "--at", "127.0.0.1:1", *WORDS)
        options = build_parser().parse_args(words)
        context = Context(options, None, print)  # type: ignore[arg-type]
        kind = MatchesStructure.byEquality(kind=ErrorKind.STORE_UNAVAILABLE)
        with ExpectedException(RequestError, kind):
            await options.command.run(context)

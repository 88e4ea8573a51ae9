"""Tests of the HTTP client for upstreams, against servers that misbehave."""

from collections.abc import Awaitable, Callable

import trio

from hemlocktrestle.adapters import HttpUpstreamClient
from hemlocktrestle.errors import ErrorKind, Outcome, RequestError, outcome_of
from hemlocktrestle.ports import UpstreamCall
from tests.support import MemoryNetwork, TrioTestCase

ADDRESS = "e1:1"
HEAD = b"HTTP/1.1 200 OK\r\n"
WHOLE = HEAD + b"content-length: 2\r\n\r\nok"

Serve = Callable[[trio.abc.Stream], Awaitable[None]]


def new_call(*, request_id: str = "r1", is_fresh: bool = False) -> UpstreamCall:
    """Return a call to the only upstream."""
    headers = ((b"host", b"pool"), (b"x-request-id", request_id.encode()))
    return UpstreamCall(
        address=ADDRESS,
        method="POST",
        target="/",
        headers=(*headers, (b"content-length", b"4")),
        body=b"body",
        is_fresh_connection=is_fresh,
        inactivity_timeout_ms=1000,
    )


async def make_call(client: HttpUpstreamClient, call: UpstreamCall) -> tuple[str, str]:
    """Make a call; return the body or the error kind, and the outcome."""
    try:
        async with client.call(call) as answer:
            body = b"".join([piece async for piece in answer.body])
    except RequestError as error:
        outcome = outcome_of(error.kind, may_have_sent=call.may_have_sent)
        return error.kind.value, outcome.value
    return body.decode(), Outcome.COMPLETE.value


async def read_request(stream: trio.abc.Stream) -> bool:
    """Read one complete request; ``False`` if the stream ends before."""
    data = b""
    while not data.endswith(b"body"):
        piece = await stream.receive_some(65536)
        if not piece:
            return False
        data += piece
    return True


def answer_with(raw: bytes, *, is_closed: bool = True) -> Serve:
    """Return a server that reads a request, sends bytes, and closes or stalls."""

    async def serve(stream: trio.abc.Stream) -> None:
        await read_request(stream)
        await stream.send_all(raw)
        if not is_closed:
            await trio.sleep_forever()
        await stream.aclose()

    return serve


class ClientTestCase(TrioTestCase):
    """A case with one upstream whose server is a function."""

    async def outcome(self, serve: Serve | None) -> tuple[str, str]:
        """Make one call to a server, or to a closed port."""
        async with trio.open_nursery() as nursery:
            network = MemoryNetwork(nursery)
            if serve is not None:
                network.handlers[ADDRESS] = serve
            async with HttpUpstreamClient(backend=network) as client:
                result = await make_call(client, new_call())
            nursery.cancel_scope.cancel()
        return result


class OutcomeAfterFailureTests(ClientTestCase):
    """Error kind and outcome of a call that fails at each of its steps."""

    async def test_no_connection(self) -> None:
        """A refused connection is the only failure with the outcome not-run."""
        self.assertEqual(("upstream_unreachable", "not-run"), await self.outcome(None))

    async def test_closed_after_accept(self) -> None:
        """A server that closes without reading may have received the request."""

        async def serve(stream: trio.abc.Stream) -> None:
            await stream.aclose()

        self.assertEqual(("upstream_broken", "unknown"), await self.outcome(serve))

    async def test_closed_after_the_request(self) -> None:
        """A request without an answer has an unknown outcome."""
        serve = answer_with(b"")
        self.assertEqual(("upstream_broken", "unknown"), await self.outcome(serve))

    async def test_closed_within_the_head(self) -> None:
        """An answer truncated in its head has an unknown outcome."""
        serve = answer_with(HEAD[:9])
        self.assertEqual(("upstream_broken", "unknown"), await self.outcome(serve))

    async def test_closed_after_the_head(self) -> None:
        """An answer truncated before its body has an unknown outcome."""
        serve = answer_with(HEAD + b"content-length: 2\r\n\r\n")
        self.assertEqual(("upstream_broken", "unknown"), await self.outcome(serve))

    async def test_closed_within_the_body(self) -> None:
        """A body shorter than its content length is not complete."""
        serve = answer_with(HEAD + b"content-length: 9\r\n\r\nok")
        self.assertEqual(("upstream_broken", "unknown"), await self.outcome(serve))

    async def test_closed_within_a_chunk(self) -> None:
        """An answer with a truncated chunk is not complete."""
        serve = answer_with(HEAD + b"transfer-encoding: chunked\r\n\r\n5\r\nok")
        self.assertEqual(("upstream_broken", "unknown"), await self.outcome(serve))

    async def test_closed_between_chunks(self) -> None:
        """An answer without its last chunk is not complete."""
        serve = answer_with(HEAD + b"transfer-encoding: chunked\r\n\r\n2\r\nok\r\n")
        self.assertEqual(("upstream_broken", "unknown"), await self.outcome(serve))

    async def test_silence_after_the_request(self) -> None:
        """A request without an answer in time has an unknown outcome."""
        serve = answer_with(b"", is_closed=False)
        self.assertEqual(("upstream_silent", "unknown"), await self.outcome(serve))

    async def test_silence_within_the_body(self) -> None:
        """An answer that stops in its body has an unknown outcome."""
        serve = answer_with(HEAD + b"content-length: 9\r\n\r\nok", is_closed=False)
        self.assertEqual(("upstream_silent", "unknown"), await self.outcome(serve))

    async def test_an_upstream_that_does_not_read(self) -> None:
        """A request to an upstream that reads nothing has an unknown outcome."""

        async def serve(stream: trio.abc.Stream) -> None:
            await trio.sleep(100)

        self.assertEqual(("upstream_silent", "unknown"), await self.outcome(serve))

    async def test_no_http(self) -> None:
        """An answer that is not HTTP has an unknown outcome."""
        serve = answer_with(b"\x00\xff nonsense\r\n\r\n")
        self.assertEqual(("upstream_broken", "unknown"), await self.outcome(serve))


class AnswerMixupTests(ClientTestCase):
    """Bytes of one answer are never read as part of another."""

    async def test_excess_bytes_are_not_the_next_answer(self) -> None:
        """Bytes after a complete answer are not read as the next answer."""
        connections = 0

        async def serve(stream: trio.abc.Stream) -> None:
            nonlocal connections
            connections += 1
            answers = WHOLE + WHOLE.replace(b"ok", b"no") if connections == 1 else WHOLE
            while await read_request(stream):
                await stream.send_all(answers)

        async with trio.open_nursery() as nursery:
            network = MemoryNetwork(nursery)
            network.handlers[ADDRESS] = serve
            async with HttpUpstreamClient(backend=network) as client:
                results = [await make_call(client, new_call()) for _ in range(3)]
            nursery.cancel_scope.cancel()
        self.assertEqual([("ok", "complete")] * 3, results)
        self.assertEqual(2, connections)

    async def test_an_answer_that_names_another_request_is_refused(self) -> None:
        """An answer that echoes another request's id counts as broken."""
        echo = HEAD + b"x-request-id: r2\r\ncontent-length: 2\r\n\r\nok"
        result = await self.outcome(answer_with(echo))
        self.assertEqual(("upstream_broken", "unknown"), result)

    async def test_an_answer_that_names_this_request_is_accepted(self) -> None:
        """An answer that echoes the request's own id is accepted."""
        echo = HEAD + b"x-request-id: r1\r\ncontent-length: 2\r\n\r\nok"
        result = await self.outcome(answer_with(echo))
        self.assertEqual(("ok", "complete"), result)

    async def test_a_connection_with_an_unread_body_is_not_reused(self) -> None:
        """A connection whose answer was not read to its end is not reused."""
        async with trio.open_nursery() as nursery:
            network = MemoryNetwork(nursery)
            network.handlers[ADDRESS] = answer_with(WHOLE[:-1], is_closed=False)
            async with HttpUpstreamClient(backend=network) as client:
                async with client.call(new_call()) as answer:
                    self.assertEqual(b"o", await anext(answer.body))
                network.handlers[ADDRESS] = answer_with(WHOLE, is_closed=False)
                result = await make_call(client, new_call())
            nursery.cancel_scope.cancel()
        self.assertEqual(("ok", "complete"), result)


class ReachableTests(ClientTestCase):
    """A new connection tells a crashed upstream from a reset connection."""

    async def test_reachable_and_not(self) -> None:
        """An address that accepts connections is reachable, a closed one is not."""
        async with trio.open_nursery() as nursery:
            network = MemoryNetwork(nursery)
            network.handlers[ADDRESS] = answer_with(b"")
            async with HttpUpstreamClient(backend=network) as client:
                self.assertTrue(await client.is_reachable(ADDRESS))
                self.assertFalse(await client.is_reachable("e2:1"))
                self.assertFalse(await client.is_reachable("e2:99999"))
            nursery.cancel_scope.cancel()


class KindsAfterSendTests(ClientTestCase):
    """The kinds that the client raises agree with the table of answers."""

    async def test_unreachable_means_no_byte_sent(self) -> None:
        """A call that could not connect has sent no byte."""
        async with trio.open_nursery() as nursery:
            network = MemoryNetwork(nursery)
            async with HttpUpstreamClient(backend=network) as client:
                call = new_call(is_fresh=True)
                await make_call(client, call)
                self.assertFalse(call.may_have_sent)
                network.handlers[ADDRESS] = answer_with(b"")
                result = await make_call(client, call)
            nursery.cancel_scope.cancel()
        self.assertTrue(call.may_have_sent)
        self.assertEqual(ErrorKind.UPSTREAM_BROKEN.value, result[0])

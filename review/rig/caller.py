"""A client: one request on a connection of its own, or on a kept one."""

from typing import NamedTuple

import h11
import trio


class Answer(NamedTuple):
    """An answer as the client got it; status 0 if the connection ended before."""

    status: int
    headers: dict[str, str]
    body: bytes
    is_whole: bool
    took_s: float


class Kept:
    """A connection that a client keeps open.

    Args:
        stream: the connection.
    """

    def __init__(self, stream: trio.SocketStream) -> None:
        self.stream = stream
        self._machine = h11.Connection(h11.CLIENT)

    @classmethod
    async def open(cls, address: str) -> "Kept":
        """Open a connection to a front address."""
        host, port = address.split(":")
        return cls(await trio.open_tcp_stream(host, int(port)))

    async def call(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes = b"",
        *,
        wait_s: float,
        split_at: int = 0,
    ) -> Answer:
        """Send a request and read its answer.

        Args:
            method: the method.
            path: the path.
            headers: header lines.
            body: the body.
            wait_s: how long to wait for the whole answer.
            split_at: bytes after which the sender pauses for 50 ms, 0 for no pause.
        """
        machine = self._machine
        if machine.our_state is h11.DONE:
            machine.start_next_cycle()
        lines = dict(headers)
        if body:
            lines["Content-Length"] = str(len(body))
        data = machine.send(
            h11.Request(method=method, target=path, headers=list(lines.items()))
        )
        data = (data or b"") + (
            (machine.send(h11.Data(data=body)) or b"") if body else b""
        )
        data += machine.send(h11.EndOfMessage()) or b""
        began_s = trio.current_time()
        status, found, got, is_whole = 0, {}, bytearray(), False
        with trio.move_on_after(wait_s):
            try:
                if split_at:
                    await self.stream.send_all(data[:split_at])
                    await trio.sleep(0.05)
                await self.stream.send_all(data[split_at:])
                while True:
                    event = machine.next_event()
                    if event is h11.NEED_DATA:
                        machine.receive_data(
                            bytes(await self.stream.receive_some(65536))
                        )
                    elif isinstance(event, h11.Response):
                        status = event.status_code
                        found = {
                            name.decode(): value.decode("latin-1")
                            for name, value in event.headers
                        }
                    elif isinstance(event, h11.Data):
                        got += event.data
                    elif isinstance(event, h11.EndOfMessage):
                        is_whole = True
                        break
                    elif not isinstance(event, h11.InformationalResponse):
                        break
            except (OSError, trio.BrokenResourceError, h11.RemoteProtocolError):
                pass
        return Answer(
            status, found, bytes(got), is_whole, trio.current_time() - began_s
        )

    async def close(self) -> None:
        """Close the connection."""
        await trio.aclose_forcefully(self.stream)


async def call_once(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b"",
    *,
    wait_s: float,
) -> Answer:
    """Send one request on a connection of its own."""
    try:
        with trio.fail_after(1.0):
            kept = await Kept.open(address)
    except (OSError, trio.TooSlowError):
        return Answer(0, {}, b"", False, 0.0)
    try:
        return await kept.call(method, path, headers, body, wait_s=wait_s)
    finally:
        await kept.close()

"""A TCP relay that can cut links or let them fall silent.

It listens on one port for each target.  Modes by target: ``pass`` carries bytes;
``cut`` closes what is open and refuses what is new; ``silent`` carries nothing more
on connections that are open now, while new ones work; ``hole`` takes connections
and carries nothing on any; ``one_way`` carries nothing back; ``slow`` carries each
piece late.
"""

import argparse
import json
import sys
from functools import partial
from typing import Any

import trio

from tests.standins.http import Connection, Request, serve

RELAY_BYTES = 65_536

SLOW_S = 0.3
"""Delay of each piece on a slow link, in seconds."""


class RelayedLink:
    """One target with its listener and open connections."""

    def __init__(self, target: str) -> None:
        self.target = target
        self.mode = "pass"
        self._open: set[trio.CancelScope] = set()
        self._silenced: set[trio.CancelScope] = set()

    def set_mode(self, mode: str) -> None:
        """Change how connections are treated."""
        self.mode = mode
        if mode in ("silent", "hole"):
            self._silenced |= self._open
        if mode == "cut":
            for scope in list(self._open):
                scope.cancel()

    async def accept(self, stream: trio.SocketStream) -> None:
        """Carry one connection."""
        async with stream:
            if self.mode == "cut":
                return
            host, port = self.target.rsplit(":", 1)
            try:
                upstream = await trio.open_tcp_stream(host, int(port))
            except OSError:
                return
            async with upstream:
                await self._carry(stream, upstream)

    async def _carry(
        self, stream: trio.SocketStream, upstream: trio.SocketStream
    ) -> None:
        with trio.CancelScope() as scope:
            self._open.add(scope)
            if self.mode == "hole":
                self._silenced.add(scope)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._pump, scope, stream, upstream)
                nursery.start_soon(
                    partial(self._pump, is_back=True), scope, upstream, stream
                )
        self._open.discard(scope)
        self._silenced.discard(scope)

    async def _pump(
        self,
        scope: trio.CancelScope,
        source: trio.SocketStream,
        target: trio.SocketStream,
        *,
        is_back: bool = False,
    ) -> None:
        try:
            while data := await source.receive_some(RELAY_BYTES):
                if self.mode == "slow":
                    await trio.sleep(SLOW_S)
                is_lost = is_back and self.mode == "one_way"
                if scope not in self._silenced and not is_lost:
                    await target.send_all(data)
            if scope not in self._silenced:
                await target.send_eof()
                return
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            scope.cancel()
        if scope in self._silenced:
            await trio.sleep_forever()


class RelayStandIn:
    """All relayed links of a test, with one control address."""

    def __init__(self, nursery: trio.Nursery) -> None:
        self._nursery = nursery
        self._links: dict[str, tuple[str, RelayedLink]] = {}

    async def handle(self, connection: Connection, request: Request) -> None:
        """Open a link, or set the mode of some."""
        body: dict[str, Any] = request.json()
        for name, target in body.get("open", {}).items():
            await self._open(name, target)
        for name, mode in body.get("modes", {}).items():
            self._links[name][1].set_mode(mode)
        addresses = {name: address for name, (address, _) in self._links.items()}
        await connection.send_json({"addresses": addresses})

    async def _open(self, name: str, target: str) -> None:
        link = RelayedLink(target)
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listeners[0].socket.getsockname()[1]
        self._links[name] = (f"127.0.0.1:{port}", link)
        self._nursery.start_soon(trio.serve_listeners, link.accept, listeners)


def _announce(address: str) -> None:
    print(json.dumps({"event": "listening", "address": address}), flush=True)


async def _run() -> None:
    async with trio.open_nursery() as nursery:
        relay = RelayStandIn(nursery)
        await serve(relay.handle, announce=_announce)


def main() -> int:
    """Run the relay as a process."""
    argparse.ArgumentParser(prog="tests.standins.relay").parse_args()
    trio.run(partial(_run))
    return 0


if __name__ == "__main__":
    sys.exit(main())

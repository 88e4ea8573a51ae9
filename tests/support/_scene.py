"""The whole path in one process: real HTTP on both sides, in virtual time."""

import json
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from functools import partial
from typing import Any, Literal

import trio

from hemlocktrestle.adapters import CallersApp, HttpUpstreamClient
from hemlocktrestle.membership import UpstreamRecord
from tests.standins.engine import EngineStandIn
from tests.standins.http import serve_connection
from tests.standins.ledger import LedgerStandIn
from tests.support._memory import MemoryNetwork, WireCaller, open_caller
from tests.support._world import MODEL, World

CHAT = "/v1/chat/completions"
LEDGER = "/services/ledger/wipes"


class Scene:
    """A zone of VMs, engines and a ledger, joined by connections in memory.

    Args:
        nursery: runs everything.
        engine_count: how many engines there are, named ``e1`` and so on.
        vm_count: how many VMs there are, named ``v1`` and so on.
    """

    def __init__(
        self, nursery: trio.Nursery, *, engine_count: int = 2, vm_count: int = 2
    ) -> None:
        self._nursery = nursery
        self.network = MemoryNetwork(nursery)
        self.client = HttpUpstreamClient(backend=self.network)
        self.engines: dict[str, EngineStandIn] = {}
        self.ledger = LedgerStandIn()
        self._scopes: dict[str, list[trio.CancelScope]] = {}
        records = [_record(f"e{index + 1}", "engine") for index in range(engine_count)]
        for record in records:
            self._start_engine(record)
        records.append(_record("l1", "plain"))
        self.network.handlers["l1:1"] = partial(
            serve_connection, handler=self.ledger.handle
        )
        self.upstreams = tuple(records)
        self.world = World(
            vms={f"v{index + 1}": "z1" for index in range(vm_count)},
            upstreams=self.upstreams,
            client=self.client,
        )

    def connect(self, vm: str = "v1") -> WireCaller:
        """Open a caller's connection to a VM."""
        entry = self.world.vms[vm].request_service
        return open_caller(CallersApp(entry, now_ms=self.world.now_ms), self._nursery)

    def dispatched_ids(self) -> list[str]:
        """Return the id of each request that reached an engine or the ledger."""
        engines = [entry for engine in self.engines.values() for entry in engine.log]
        return [str(entry["request_id"]) for entry in engines] + [
            str(entry["request_id"]) for entry in self.ledger.effects
        ]

    def crash(self, name: str) -> None:
        """End an engine, as the platform then lists it."""
        self.network.handlers.pop(f"{name}:1", None)
        for scope in self._scopes.pop(name, []):
            scope.cancel()
        listing = self.world.listing
        left = tuple(item for item in listing.upstreams if item.name != name)
        self.world.set_listing(listing._replace(upstreams=left))

    def _start_engine(self, record: UpstreamRecord) -> None:
        engine = EngineStandIn(slots=8, prefill_ms_per_token=0.2, decode_ms=10.0)
        engine.crash = partial(self.crash, record.name)
        self.engines[record.name] = engine
        self._scopes[record.name] = []

        async def serve(stream: trio.abc.Stream) -> None:
            with trio.CancelScope() as scope:
                self._scopes[record.name].append(scope)
                await serve_connection(stream, engine.handle)

        self.network.handlers[record.address] = serve


def _record(name: str, kind: Literal["engine", "plain"]) -> UpstreamRecord:
    pools = ("assistant",) if kind == "engine" else ("ledger",)
    address = f"{name}:1"
    return UpstreamRecord(name, "z1", "region", address, kind, pools, "g", False)


@asynccontextmanager
async def open_scene(**options: int) -> AsyncIterator[Scene]:
    """Start a scene, and stop all of it at the end."""
    async with AsyncExitStack() as stack:
        nursery = await stack.enter_async_context(trio.open_nursery())
        scene = Scene(nursery, **options)
        await stack.enter_async_context(scene.client)
        await scene.world.start(nursery)
        yield scene
        nursery.cancel_scope.cancel()


def chat_body(text: str, **fields: Any) -> bytes:
    """Return the body of a model call."""
    body = {
        "model": MODEL,
        "messages": [{"role": "user", "content": text}],
        "max_tokens": 4,
        **fields,
    }
    return json.dumps(body).encode()


def bearer(caller: str = "nurse") -> str:
    """Return a caller's authorization."""
    return f"Bearer {caller}-token"

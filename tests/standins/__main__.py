"""Runs one stand-in as a process, which prints its address as a line of JSON."""

import argparse
import json
import sys
from functools import partial

import trio

from tests.standins.engine import EngineStandIn
from tests.standins.http import Handler, serve
from tests.standins.ledger import LedgerStandIn
from tests.standins.platform_list import PlatformListStandIn
from tests.standins.store import StoreStandIn


def _announce(address: str) -> None:
    print(json.dumps({"event": "listening", "address": address}), flush=True)


async def _run(options: argparse.Namespace) -> None:
    handlers: dict[str, Handler] = {
        "store": StoreStandIn().handle,
        "list": PlatformListStandIn().handle,
        "ledger": LedgerStandIn().handle,
        "engine": EngineStandIn(
            slots=options.slots,
            prefill_ms_per_token=options.prefill_ms,
            decode_ms=options.decode_ms,
        ).handle,
    }
    await serve(handlers[options.kind], port=options.port, announce=_announce)


def main() -> int:
    """Run the stand-in that the command line names."""
    parser = argparse.ArgumentParser(prog="tests.standins")
    parser.add_argument("kind", choices=["store", "list", "engine", "ledger"])
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--prefill-ms", type=float, default=0.2)
    parser.add_argument("--decode-ms", type=float, default=10.0)
    trio.run(partial(_run, parser.parse_args()))
    return 0


if __name__ == "__main__":
    sys.exit(main())

"""The command that explains where a request would go now, without sending it."""

import argparse
import json
from typing import Any
from urllib.parse import urlencode

import httpcore

from hemlocktrestle.cli._context import CALL_TIMEOUT_S, Context
from hemlocktrestle.cli._registry import command
from hemlocktrestle.errors import ErrorKind, RequestError

_FIELDS = (
    "customer",
    "request_id",
    "prompt_tokens",
    "output_tokens",
    "deadline_ms",
    "zone",
)


def _arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--at", required=True, help="metrics address of the VM")
    parser.add_argument("host", help="host that the caller names")
    parser.add_argument("path", help="path of the request")
    parser.add_argument("--customer", default="", help="name of the customer")
    parser.add_argument("--request-id", default="", help="id, which chooses a service")
    parser.add_argument("--zone", default="", help="zone, if not that of the VM")
    parser.add_argument("--prompt-tokens", type=int, default=0)
    parser.add_argument("--output-tokens", type=int, default=0)
    parser.add_argument("--deadline-ms", type=int, default=0)


@command(
    "where",
    help="show where a request would go now, and why, without sending it",
    example="hemlocktrestle where --at 10.1.0.4:9464 callers.example /a/1 --customer c",
    arguments=_arguments,
)
async def where(context: Context) -> int:
    """Print what would become of a request at a VM, and what decides it."""
    options = context.options
    query = {"host": options.host, "path": options.path}
    for name in _FIELDS:
        if value := getattr(options, name):
            query[name] = value
    found = await _ask(options.at, f"/where?{urlencode(query)}")
    lines = [f"{name}: {_text(value)}" for name, value in found.items()]
    context.show(found, lines)
    return 0


async def _ask(address: str, target: str) -> dict[str, Any]:
    timeouts = dict.fromkeys(("connect", "pool", "write", "read"), CALL_TIMEOUT_S)
    try:
        async with httpcore.AsyncConnectionPool(retries=0) as pool:
            response = await pool.request(
                "GET", f"http://{address}{target}", extensions={"timeout": timeouts}
            )
    except (
        httpcore.NetworkError,
        httpcore.TimeoutException,
        httpcore.ProtocolError,
    ) as error:
        raise RequestError(
            ErrorKind.STORE_UNAVAILABLE, f"{address}: VM gave no answer"
        ) from error
    if response.status != 200:
        text = response.content.decode("utf-8", "replace")
        raise RequestError(ErrorKind.SETTINGS_INVALID, f"{response.status}: {text}")
    result: dict[str, Any] = json.loads(response.content)
    return result


def _text(value: Any) -> str:
    if isinstance(value, list):
        return "; ".join(_text(item) for item in value)
    if isinstance(value, dict):
        return " ".join(f"{name}={item}" for name, item in value.items())
    return str(value)

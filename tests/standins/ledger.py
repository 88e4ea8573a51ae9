"""A stand-in of a plain service: a ledger that counts the effects of its calls."""

from typing import Any

import trio

from tests.standins.http import Connection, Request
from tests.standins.record import record


class LedgerStandIn:
    """Every POST has an effect, each time that it comes.

    Faults: ``delay_ms`` before an effect; ``break_after_effect`` breaks off that
    many times after the effect, before the answer; ``silent`` never answers.
    """

    def __init__(self) -> None:
        self.effects: list[dict[str, Any]] = []
        self.faults: dict[str, Any] = {
            "delay_ms": 0,
            "break_after_effect": 0,
            "silent": False,
        }

    async def handle(self, connection: Connection, request: Request) -> None:
        """Serve one request."""
        if request.target == "/_control":
            self.faults.update(request.json())
            await connection.send_json({"effects": self.effects})
            return
        if self.faults["delay_ms"]:
            await trio.sleep(self.faults["delay_ms"] / 1000)
        if request.method == "POST":
            record(
                "effect",
                request_id=request.headers.get("x-request-id", ""),
                key=request.headers.get("idempotency-key", ""),
                job=request.body.decode("utf-8", "replace"),
            )
            self.effects.append(
                {
                    "request_id": request.headers.get("x-request-id", ""),
                    "body": request.body.decode("utf-8", "replace"),
                    "at_s": trio.current_time(),
                }
            )
        if self.faults["silent"]:
            await connection.wait_closed()
            return
        if self.faults["break_after_effect"]:
            self.faults["break_after_effect"] -= 1
            return
        await connection.send_json({"effect_count": len(self.effects)}, 201)

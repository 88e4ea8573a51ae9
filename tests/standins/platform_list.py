"""A stand-in of the platform's list, which lags behind what it is told."""

import hashlib
import json
from typing import Any

import trio

from tests.standins.http import Connection, Request


class PlatformListStandIn:
    """Target groups by name; a change shows after ``lag_ms``."""

    def __init__(self) -> None:
        self.lag_ms = 0
        self.is_down = False
        self.unchanged_count = 0
        self._groups: dict[str, dict[str, Any]] = {}
        self._pending: list[tuple[float, str, dict[str, Any] | None]] = []

    async def handle(self, connection: Connection, request: Request) -> None:
        """Serve one request."""
        if request.target == "/_control":
            self._control(request.json())
            await connection.send_json({})
            return
        if self.is_down:
            return
        self._advance()
        body = json.dumps(list(self._groups.values())).encode()
        tag = f'"{hashlib.sha256(body).hexdigest()[:16]}"'
        if request.headers.get("if-none-match") == tag:
            self.unchanged_count += 1
            await connection.send_head(304, {"etag": tag})
            await connection.finish()
            return
        await connection.send_head(
            200,
            {
                "content-type": "application/json",
                "content-length": str(len(body)),
                "etag": tag,
            },
        )
        await connection.send_chunk(body)
        await connection.finish()

    def put(self, name: str, group: dict[str, Any] | None) -> None:
        """Add, replace or remove a group after the lag."""
        due = trio.current_time() + self.lag_ms / 1000
        self._pending.append((due, name, group))

    def _control(self, body: dict[str, Any]) -> None:
        self.lag_ms = body.get("lag_ms", self.lag_ms)
        self.is_down = body.get("is_down", self.is_down)
        for name, group in body.get("groups", {}).items():
            self.put(name, group)
        for name in body.get("leaving", []):
            group = dict(self._groups[name])
            group["labels"] = {**group["labels"], "state": "leaving"}
            self.put(name, group)

    def _advance(self) -> None:
        now = trio.current_time()
        due = [entry for entry in self._pending if entry[0] <= now]
        self._pending = [entry for entry in self._pending if entry[0] > now]
        for _, name, group in due:
            if group is None:
                self._groups.pop(name, None)
            else:
                self._groups[name] = group

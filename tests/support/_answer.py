"""The answer to a call of an in-process VM."""

import json
from typing import Any, NamedTuple

import trio


class Answer(NamedTuple):
    """The answer to a call; ``is_ended`` tells whether it ended cleanly."""

    status: int
    headers: dict[str, str]
    body: bytes
    is_ended: bool

    @property
    def outcome(self) -> str:
        """The outcome that the answer reports."""
        if b": hemlocktrestle-outcome complete" in self.body and self.is_ended:
            return "complete"
        return self.headers.get("x-hemlocktrestle-outcome", "")

    @property
    def error_kind(self) -> str:
        """The kind of the error, or empty."""
        if self.status < 400:
            return ""
        return str(json.loads(self.body)["error"]["kind"])


class Collector:
    """Collects the ASGI events of one answer."""

    def __init__(self) -> None:
        self._status = 0
        self._headers: dict[str, str] = {}
        self._body = bytearray()
        self._is_ended = False

    async def send(self, event: dict[str, Any]) -> None:
        await trio.lowlevel.checkpoint()
        if event["type"] == "http.response.start":
            self._status = event["status"]
            self._headers = {
                name.decode(): value.decode() for name, value in event["headers"]
            }
        else:
            self._body += event["body"]
            self._is_ended = not event["more_body"]

    def answer(self) -> Answer:
        return Answer(self._status, self._headers, bytes(self._body), self._is_ended)

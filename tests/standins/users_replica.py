"""A stand-in of a replica on the users' platform: sealed answers, whole or streamed."""

import json

import trio

from tests.standins.http import Connection, Request


class UsersReplica:
    """Answers with a seal and counts what it ran.

    Args:
        replica_id: the id under which it registers.
        event_count: events of a stream.
        event_ms: time between them.
    """

    def __init__(
        self, replica_id: str, *, event_count: int = 5, event_ms: float = 20.0
    ) -> None:
        self.replica_id = replica_id
        self.event_count = event_count
        self.event_ms = event_ms
        self.ran: list[str] = []

    def entry(self, address: str, *, service: str, state: str = "ready") -> bytes:
        """Return the entry by which it registers."""
        fields = {
            "service": service,
            "address": address,
            "zone": "z1",
            "slots": 4,
            "state": state,
        }
        return json.dumps(fields).encode()

    async def handle(self, connection: Connection, request: Request) -> None:
        """Serve one request."""
        if request.headers.get("x-expect-instance") != self.replica_id:
            await connection.start(421, {"x-not-executed": "1", "content-length": "0"})
            await connection.finish()
            return
        self.ran.append(request.headers["x-attempt-id"])
        lines = {
            "x-attempt-id": request.headers["x-attempt-id"],
            "x-response-seal": f"seal-{self.replica_id}",
        }
        if not request.target.startswith("/advice/"):
            await connection.start(200, {**lines, "content-length": "4"})
            await connection.piece(b"done")
            await connection.finish()
            return
        await connection.start(200, {**lines, "content-type": "text/event-stream"})
        for number in range(1, self.event_count + 1):
            await connection.piece(f"id: {number}\ndata: x\n\n".encode())
            await trio.sleep(self.event_ms / 1000)
        await connection.finish()

"""Clients and replicas read slowly; the process holds more than its memory."""

import asyncio
import socket
import time

from review.rig2.client import call, new_attempt
from review.rig2.http import Head, message, read_body, read_head
from review.rig2.replica import Replica, configuration
from review.rig2.scene import MEMORY_MB, Machine, Scene, run_case

LIMIT_BYTES = MEMORY_MB * 1024 * 1024
"""Memory at which the platform kills the process, in bytes."""

UPLOAD_COUNT = 9
UPLOAD_BYTES = 4_190_000
"""Size of an upload, in bytes; ``maxBodyBytes`` is 4,194,304."""

DOWNLOAD_COUNT = 150
DOWNLOAD_BYTES = 250_000

BOOKING_COUNT = 8
"""Clients that book, each on a connection that it keeps."""

BOOKING_WORK_S = 0.4

SLOW_READ_BYTES = 2_048
"""Bytes that a slow reader takes at a time."""

SLOW_PAUSE_S = 0.1
"""Pause of a slow reader between two reads, in seconds."""

LOST_MAX = 3
"""Requests from kept connections that may be lost."""


class FileReplica(Replica):
    """Takes uploads and answers downloads.

    Args:
        is_slow: whether it reads slowly.
    """

    is_slow = True

    async def handle(
        self,
        head: Head,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Serve one request."""
        left = int(head.headers.get("content-length", 0))
        while left:
            size = SLOW_READ_BYTES if self.is_slow else 65_536
            piece = await reader.read(min(left, size))
            if not piece:
                return False
            left -= len(piece)
            if self.is_slow:
                await asyncio.sleep(SLOW_PAUSE_S)
        headers = self.begin(head)
        headers["content-length"] = str(DOWNLOAD_BYTES)
        writer.write(message("HTTP/1.1 200 OK", headers, b"z" * DOWNLOAD_BYTES))
        await writer.drain()
        return True


class _Bookings:
    """Clients that book, and what became of their requests."""

    def __init__(self, scene: Scene, machine: Machine) -> None:
        self._scene = scene
        self._machine = machine
        self.is_over = False
        self.answered: set[str] = set()
        self.closed: set[str] = set()

    async def run(self) -> None:
        """Book again and again on one connection."""
        reader, writer = await asyncio.open_connection(*self._machine.front)
        while not self.is_over:
            attempt = new_attempt()
            head = {
                "Host": "app.example",
                "X-Attempt-Id": attempt,
                "X-Deadline-Ms": "6000",
                "Api-Key": "key-depot",
                "Content-Length": "1",
            }
            self._scene.note("client: books", attempt=attempt)
            try:
                writer.write(message("POST /book/1 HTTP/1.1", head, b"x"))
                answer = await read_head(reader)
                if answer is None:
                    raise EOFError
                await read_body(reader, answer.headers)
            except (EOFError, OSError):
                self.closed.add(attempt)
                self._scene.note("client: closed without an answer", attempt=attempt)
                return
            self.answered.add(attempt)
            line = answer.first.split(" ")
            self._scene.note("client: answered", attempt=attempt, status=line[1])


async def _download(scene: Scene, machine: Machine) -> None:
    sock = socket.socket()
    if scene.has_trouble:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_READ_BYTES)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, machine.front)
    reader, writer = await asyncio.open_connection(sock=sock, limit=SLOW_READ_BYTES)
    head = {
        "Host": "app.example",
        "X-Attempt-Id": new_attempt(),
        "X-Deadline-Ms": "6000",
        "Api-Key": "key-depot",
    }
    try:
        writer.write(message("GET /file/1 HTTP/1.1", head))
        until = time.monotonic() + 6.0
        while await reader.read(SLOW_READ_BYTES) and time.monotonic() < until:
            if scene.has_trouble:
                await asyncio.sleep(SLOW_PAUSE_S)
    except OSError:
        pass
    finally:
        writer.close()


async def _watch_memory(scene: Scene, machine: Machine) -> None:
    """Kill the process if it exceeds its memory, as the platform does."""
    peak = 0
    try:
        while True:
            used = machine.resident_bytes()
            peak = max(peak, used)
            if used > LIMIT_BYTES:
                scene.note("platform: process over its memory", bytes=used)
                assert machine.process is not None
                machine.process.kill()
                return
            await asyncio.sleep(0.02)
    finally:
        scene.note("platform: peak of memory", bytes=peak, limit=LIMIT_BYTES)


async def play(scene: Scene) -> bool:
    """Play the case; return whether the rule held."""
    document = configuration()
    file_service = {"name": "file", "healthPath": "/health", "maxConns": 360}
    document["services"].append(file_service | {"protocol": "h1", "tls": False})
    book = next(route for route in document["routes"] if route["name"] == "book")
    file_route = {"name": "file", "prefix": "/file/", "service": "file"}
    document["routes"].append(book | file_route)
    scene.store.write("op/config", document)
    replicas: list[Replica] = []
    for number in range(3):
        files = FileReplica(f"i-file-{number}", "file", scene.note, slots=60)
        files.is_slow = scene.has_trouble
        replicas.append(files)
    booking = Replica("i-app-1", "app", scene.note, work_s=BOOKING_WORK_S)
    replicas.append(booking)
    for number, replica in enumerate(replicas):
        await replica.start(f"{scene.net}.{100 + number}")
        replica.register(scene.store)
    machine = scene.add_machine("front-nw-a-1")
    await scene.start(machine)
    await scene.await_ready(machine)
    bookings = _Bookings(scene, machine)
    booked = [asyncio.ensure_future(bookings.run()) for _ in range(BOOKING_COUNT)]
    watch = asyncio.ensure_future(_watch_memory(scene, machine))
    await asyncio.sleep(2.0)
    scene.note("downloads begin")
    loads = [
        asyncio.ensure_future(_download(scene, machine)) for _ in range(DOWNLOAD_COUNT)
    ]
    await asyncio.sleep(1.5)
    scene.note("uploads begin")
    body = b"x" * UPLOAD_BYTES
    uploads = [
        call(machine.front, "/file/2", note=scene.note, body=body)
        for _ in range(UPLOAD_COUNT)
    ]
    answers = await asyncio.gather(*uploads)
    scene.note("uploads end", statuses=[answer.status for answer in answers])
    await asyncio.gather(*loads)
    bookings.is_over = True
    await asyncio.gather(*booked)
    watch.cancel()
    await asyncio.gather(watch, return_exceptions=True)
    ran = {headers["x-attempt-id"] for _, headers in booking.runs}
    lost = bookings.closed & ran
    scene.note("result", bookings=len(bookings.answered), ran_and_lost=len(lost))
    return len(lost) <= LOST_MAX


if __name__ == "__main__":
    run_case(play)

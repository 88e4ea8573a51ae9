"""The sessions: what callers send, and the faults injected meanwhile."""

import re
from collections.abc import Awaitable, Callable
from pathlib import Path

import trio

from hemlocktrestle.daemon._request_service import RequestService
from hemlocktrestle.tree import EMPTY_TREE
from tests.support import (
    CHAT,
    LEDGER,
    Reply,
    Scene,
    WireCaller,
    bearer,
    chat_body,
    open_scene,
)

FOLDER = Path(__file__).parent / "sessions"
SHOWN_BYTES_MAX = 200
"""Longer header lines and request bodies are truncated to this size."""

RECORD_DELAY_S = 1.0
"""Delay after a call with a key, so that its answer is recorded, in seconds."""

Session = Callable[[Scene, "Recorder"], Awaitable[None]]
SESSIONS: dict[str, Session] = {}


def session(function: Session) -> Session:
    """Register a session under its function's name."""
    SESSIONS[function.__name__] = function
    return function


class Recorder:
    """Records the bytes sent and received on a caller's connections."""

    def __init__(self, scene: Scene) -> None:
        self._scene = scene
        self.parts: list[bytes] = []

    async def call(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        *,
        on: WireCaller | None = None,
        caller: str = "nurse",
        **headers: str,
    ) -> Reply:
        """Make one call, on a new connection unless one is given."""
        wire = on or self._scene.connect()
        headers.setdefault("authorization", bearer(caller))
        raw = await wire.send(method, target, body, **headers)
        reply = await wire.reply()
        self._record(raw, reply)
        return reply

    def text(self) -> bytes:
        """Return the recorded session, with dates and request ids normalized."""
        text = b"".join(self.parts)
        text = re.sub(rb"(?m)^date: .*$", b"date: DATE\r", text)
        numbers: dict[bytes, bytes] = {}

        def numbered(match: re.Match[bytes]) -> bytes:
            return numbers.setdefault(match[0], b"REQUEST-%d" % (len(numbers) + 1))

        return re.sub(rb"\b[0-9a-f]{32}\b", numbered, text)

    def _record(self, raw: bytes, reply: Reply) -> None:
        head, _, body = raw.partition(b"\r\n\r\n")
        head = b"\n".join(_truncate(line) for line in head.split(b"\n"))
        body = _truncate(body)
        end = b"clean end" if reply.is_ended else b"unclean end"
        self.parts.append(b">>> request\n" + head + b"\n\n" + body + b"\n")
        self.parts.append(b"<<< answer\n" + reply.head + b"\n\n" + reply.body)
        self.parts.append(b"\n=== " + end + b"\n\n")


def _truncate(text: bytes) -> bytes:
    if len(text) <= SHOWN_BYTES_MAX:
        return text
    return text[:SHOWN_BYTES_MAX] + b" ... %d bytes" % len(text)


async def run_session(name: str) -> bytes:
    """Run a session, and return its recorded text."""
    async with open_scene() as scene:
        recorder = Recorder(scene)
        await SESSIONS[name](scene, recorder)
    return recorder.text()


@session
async def chat_whole(scene: Scene, recorder: Recorder) -> None:
    """A model call that is not streamed."""
    await recorder.call("POST", CHAT, chat_body("whole"))


@session
async def chat_stream(scene: Scene, recorder: Recorder) -> None:
    """Two streamed model calls on one connection."""
    wire = scene.connect()
    await recorder.call("POST", CHAT, chat_body("stream", stream=True), on=wire)
    await recorder.call("POST", CHAT, chat_body("next", stream=True), on=wire)


@session
async def chat_stream_resumed(scene: Scene, recorder: Recorder) -> None:
    """A stream that breaks and is resumed."""
    _set_engine_faults(scene, break_after=2)
    await recorder.call("POST", CHAT, chat_body("stream", stream=True))


@session
async def chat_stream_broken(scene: Scene, recorder: Recorder) -> None:
    """A stream that breaks and cannot be resumed."""
    _set_engine_faults(scene, break_after=2, resume=False)
    await recorder.call("POST", CHAT, chat_body("stream", stream=True))


@session
async def models(scene: Scene, recorder: Recorder) -> None:
    """The list of models."""
    await recorder.call("GET", "/v1/models")


@session
async def service_call_and_replay(scene: Scene, recorder: Recorder) -> None:
    """A service call, the same call again, and another call under the same key."""
    for body in (b'{"panel":1}', b'{"panel":1}', b'{"panel":2}'):
        await recorder.call("POST", LEDGER, body, idempotency_key="wipe-1")
        await trio.sleep(RECORD_DELAY_S)


@session
async def key_in_progress(scene: Scene, recorder: Recorder) -> None:
    """A service call sent again while the first one still runs."""
    scene.ledger.faults["delay_ms"] = 500
    async with trio.open_nursery() as nursery:
        first = scene.connect()
        names = {"authorization": bearer(), "idempotency_key": "wipe-1"}
        await first.send("POST", LEDGER, b"{}", **names)
        await trio.sleep(0.1)
        await recorder.call("POST", LEDGER, b"{}", idempotency_key="wipe-1")
        nursery.cancel_scope.cancel()


@session
async def refused_input(scene: Scene, recorder: Recorder) -> None:
    """Invalid requests: each is refused without being dispatched."""
    await recorder.call("POST", CHAT, b"{")
    await recorder.call("POST", CHAT, b'{"model": "assistant", "messages": 5}')
    await recorder.call("POST", CHAT, chat_body("x", stream="yes"))
    await recorder.call("POST", CHAT, chat_body("x", model="other"))
    await recorder.call("POST", CHAT, chat_body("x"), authorization="Bearer wrong")
    await recorder.call("POST", CHAT, chat_body("x"), x_request_deadline_ms="0")
    await recorder.call("POST", CHAT, chat_body("x"), x_hemlocktrestle_tier="top")
    await recorder.call("POST", CHAT, b"x" * 8_400_000)
    await recorder.call("GET", "/v1/models", x_bomb="x" * 40_000)
    await recorder.call("GET", "/v1/models", x_bomb="x" * 100_000)
    await recorder.call("POST", "/v1/embeddings", b"{}")
    await recorder.call("POST", "/services/other/x", b"{}")
    await recorder.call("POST", LEDGER, b"{}")


@session
async def deadline_while_running(scene: Scene, recorder: Recorder) -> None:
    """A model call whose deadline passes while the engine runs it."""
    _set_engine_faults(scene, silent=True)
    body = chat_body("late")
    await recorder.call("POST", CHAT, body, x_request_deadline_ms="500")


@session
async def engine_silent(scene: Scene, recorder: Recorder) -> None:
    """A model call that the engine never answers."""
    _set_engine_faults(scene, silent=True)
    await recorder.call("POST", CHAT, chat_body("silent"))


@session
async def engine_broken(scene: Scene, recorder: Recorder) -> None:
    """A model call whose engine closes the connection."""
    for engine in scene.engines.values():
        engine.faults["exit_on_crash"] = False
    await recorder.call("POST", CHAT, chat_body("CRASH-UPSTREAM"))


@session
async def store_down(scene: Scene, recorder: Recorder) -> None:
    """A service call with a key while the store is down."""
    scene.world.store.set_down(True)
    await recorder.call("POST", LEDGER, b"{}", idempotency_key="wipe-1")


@session
async def settings_unready(scene: Scene, recorder: Recorder) -> None:
    """A call to a VM that has not loaded the settings yet."""
    scene.world.vms["v1"].state = EMPTY_TREE
    await recorder.call("GET", "/v1/models")


@session
async def internal(scene: Scene, recorder: Recorder) -> None:
    """An unexpected exception in the daemon."""

    def fail(*arguments: object) -> None:
        raise ValueError("a fault")

    entry: RequestService = scene.world.vms["v1"].request_service
    entry._run_once = fail  # type: ignore[method-assign,assignment]
    await recorder.call("POST", CHAT, chat_body("x"))


def _set_engine_faults(scene: Scene, **faults: object) -> None:
    for engine in scene.engines.values():
        engine.faults.update(faults)

"""Callers of a cluster of real processes, and the records of a run."""

import json
import threading
import time
from collections.abc import Callable
from datetime import datetime
from typing import Any, NamedTuple

import httpcore

from tests.cluster import Cluster, Upstream, Zone, sample_tree
from tests.observer import (
    Call,
    Dispatch,
    Effect,
    ProcessExit,
    RevisionApplied,
    Run,
    UpstreamLeaving,
)
from tests.standins.engine import answer_words

MODEL = "assistant"
CALLER_S = 20.0
ZONE_A = Zone("pwani-a", "pwani")
ZONE_B = Zone("pwani-b", "pwani")

_BROKEN = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
)


class _Received(NamedTuple):
    status: int
    headers: dict[bytes, str]
    body: bytes
    is_ended: bool


class Session:
    """Makes calls to a running cluster, and records what each caller received.

    Args:
        cluster: the running cluster.
    """

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster
        self.calls: list[Call] = []
        self.ended: list[ProcessExit] = []
        self._lock = threading.Lock()
        self._threads: list[threading.Thread] = []

    def chat(self, vm: str, text: str, **options: Any) -> Call:
        """Make one model call and wait for its end.

        Args:
            vm: the VM to call.
            text: the prompt.
            options: ``key``, ``caller``, ``tokens`` and ``is_stream``.
        """
        tokens = options.get("tokens", 8)
        is_stream = options.get("is_stream", True)
        body = json.dumps(
            {
                "model": MODEL,
                "messages": [{"role": "user", "content": text}],
                "stream": is_stream,
                "max_tokens": tokens,
            }
        ).encode()
        words = "".join(answer_words(body, tokens))

        def check(received: _Received) -> tuple[bool, bool]:
            got = _text_of(received.body, is_stream=is_stream)
            is_whole = got == words and (
                not is_stream or b"data: [DONE]" in received.body
            )
            return is_whole and received.is_ended, words.startswith(got)

        return self._call(vm, "/v1/chat/completions", body, check, **options)

    def wipe(self, vm: str, job: str, *, key: str, caller: str = "wiper") -> Call:
        """Send one keyed request to the ledger service and wait for the answer."""

        def check(received: _Received) -> tuple[bool, bool]:
            return received.is_ended and b"effect_count" in received.body, True

        return self._call(
            vm, "/services/ledger/wipes", job.encode(), check, key=key, caller=caller
        )

    def start(self, call: Callable[..., Call], *arguments: Any, **options: Any) -> None:
        """Make a call in a thread; :meth:`join` waits for all of them."""
        thread = threading.Thread(
            target=call, args=arguments, kwargs=options, daemon=True
        )
        thread.start()
        self._threads.append(thread)

    def join(self) -> None:
        """Wait until all calls started in threads have ended."""
        for thread in self._threads:
            thread.join()
        self._threads.clear()

    def run(self) -> Run:
        """Return the records of all calls and processes so far."""
        dispatches: list[Dispatch] = []
        effects: list[Effect] = []
        in_force: list[RevisionApplied] = []
        leaving: list[UpstreamLeaving] = []
        for name, process in self.cluster.processes.items():
            for event in process.events():
                kind = event.get("event")
                if kind in ("dispatched", "effect"):
                    dispatches.append(
                        Dispatch(name, event["request_id"], event["key"], event["at_s"])
                    )
                if kind == "effect":
                    effects.append(Effect(event["job"], event["request_id"]))
                elif kind == "refused":
                    leaving.append(UpstreamLeaving(name, event["at_s"]))
                elif kind == "tree_in_force":
                    at_s = datetime.fromisoformat(event["timestamp"]).timestamp()
                    in_force.append(RevisionApplied(name, "", event["revision"], at_s))
        return Run(
            calls=tuple(self.calls),
            dispatches=tuple(dispatches),
            effects=tuple(effects),
            in_force=tuple(in_force),
            leaving=tuple(leaving),
            ended=tuple(self.ended),
        )

    def _call(
        self,
        vm: str,
        target: str,
        body: bytes,
        check: Callable[[_Received], tuple[bool, bool]],
        **options: Any,
    ) -> Call:
        key = options.get("key", "")
        headers = [
            ("authorization", f"Bearer {options.get('caller', 'nurse')}-token"),
            ("content-type", "application/json"),
        ]
        if key:
            headers.append(("idempotency-key", key))
        sent_s = time.time()
        received = _exchange(
            self.cluster.relay_addresses[f"{vm}-callers"], target, headers, body
        )
        is_whole, is_own = check(received)
        outcome = received.headers.get(b"x-hemlocktrestle-outcome", "")
        if received.is_ended and b": hemlocktrestle-outcome complete" in received.body:
            outcome = "complete"
        call = Call(
            received.headers.get(b"x-request-id", ""),
            key,
            received.status,
            outcome,
            is_whole,
            is_own,
            sent_s,
            time.time(),
        )
        with self._lock:
            self.calls.append(call)
        return call


def _exchange(
    address: str, target: str, headers: list[tuple[str, str]], body: bytes
) -> _Received:
    status = 0
    found: dict[bytes, str] = {}
    content = bytearray()
    timeouts = dict.fromkeys(("connect", "pool", "write", "read"), CALLER_S)
    try:
        with (
            httpcore.ConnectionPool(retries=0) as pool,
            pool.stream(
                "POST",
                f"http://{address}{target}",
                headers=headers,
                content=body,
                extensions={"timeout": timeouts},
            ) as response,
        ):
            status = response.status
            found = {name.lower(): value.decode() for name, value in response.headers}
            for piece in response.iter_stream():
                content += piece
    except _BROKEN:
        return _Received(status, found, bytes(content), False)
    return _Received(status, found, bytes(content), True)


def _text_of(body: bytes, *, is_stream: bool) -> str:
    try:
        if not is_stream:
            content: str = json.loads(body)["choices"][0]["message"]["content"]
            return content
    except (ValueError, KeyError):
        return ""
    words = []
    for line in body.split(b"\n"):
        if line.startswith(b'data: {"id"'):
            chunk = json.loads(line.removeprefix(b"data: "))
            words.append(chunk["choices"][0]["delta"]["content"])
    return "".join(words)


def start_two_zones(
    cluster: Cluster, *, decode_ms: int = 10, notice_ms: int = 500
) -> Session:
    """Start two zones of two daemons each, three engines, and a ledger service.

    Args:
        cluster: the cluster that starts them.
        decode_ms: time of the engines for each token, in milliseconds.
        notice_ms: time from the loss of readiness to closing a listener.

    Returns:
        A session with the cluster, which is ready.
    """
    cluster.start_platform()
    speed = ("--decode-ms", str(decode_ms))
    cluster.start_upstreams(
        [
            Upstream("engine-a1", "engine", ZONE_A, MODEL, speed),
            Upstream("engine-a2", "engine", ZONE_A, MODEL, speed),
            Upstream("engine-b1", "engine", ZONE_B, MODEL, speed),
            Upstream("ledger-a", "ledger", ZONE_A, "ledger"),
        ]
    )
    vms = {"vm-a1": ZONE_A, "vm-a2": ZONE_A, "vm-b1": ZONE_B, "vm-b2": ZONE_B}
    cluster.start_daemons(vms, notice_ms=notice_ms)
    cluster.apply_tree(sample_tree())
    cluster.await_ready(*cluster.zones, live_count=2)
    return Session(cluster)

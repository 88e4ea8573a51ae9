"""A demonstration: the whole system as processes, and a check of the results."""

import argparse
import json
import signal
import sys
import threading
import time
from typing import Any, NamedTuple

import httpcore

from tests.cluster import (
    OPERATOR_TOKEN,
    Cluster,
    Upstream,
    Zone,
    sample_tree,
    wait_until,
)
from tests.standins.engine import answer_words

ZONES = (Zone("pwani-a", "pwani"), Zone("pwani-b", "pwani"))
ENGINES = (("engine-1", 0, "6"), ("engine-2", 0, "20"), ("engine-3", 1, "10"))
MODEL = "assistant"


class CallResult(NamedTuple):
    """The result of one call: a row of the printed table."""

    what: str
    vm: str
    status: int
    outcome: str
    total_ms: float
    request_id: str
    is_whole: bool
    body: bytes


def chat_body(text: str, *, is_stream: bool, tokens: int) -> bytes:
    """Return the body of a chat completion."""
    return json.dumps(
        {
            "model": MODEL,
            "messages": [{"role": "user", "content": text}],
            "stream": is_stream,
            "max_tokens": tokens,
        }
    ).encode()


def answer_text(body: bytes, *, is_stream: bool) -> str:
    """Return the answer's text from a complete or streamed body."""
    if not is_stream:
        content: str = json.loads(body)["choices"][0]["message"]["content"]
        return content
    chunks = [
        json.loads(line.removeprefix(b"data: "))
        for line in body.split(b"\n")
        if line.startswith(b"data: {")
    ]
    return "".join(chunk["choices"][0]["delta"]["content"] for chunk in chunks)


def send(
    cluster: Cluster,
    vm: str,
    target: str,
    body: bytes,
    *,
    token: str,
    what: str,
    key: str = "",
) -> CallResult:
    """Send one call to a daemon, and read the complete answer."""
    address = cluster.processes[vm].addresses["callers"]
    headers = [
        ("authorization", f"Bearer {token}"),
        ("content-type", "application/json"),
    ]
    if key:
        headers.append(("idempotency-key", key))
    started = time.monotonic()
    timeouts = dict.fromkeys(("connect", "pool", "write", "read"), 30.0)
    with httpcore.ConnectionPool(retries=0) as pool:
        response = pool.request(
            "POST",
            f"http://{address}{target}",
            headers=headers,
            content=body,
            extensions={"timeout": timeouts},
        )
    found = {name.lower(): value.decode() for name, value in response.headers}
    content = response.content
    outcome = found.get(b"x-hemlocktrestle-outcome", "")
    if b": hemlocktrestle-outcome complete" in content:
        outcome = "complete"
    return CallResult(
        what,
        vm,
        response.status,
        outcome,
        (time.monotonic() - started) * 1000,
        found.get(b"x-request-id", ""),
        True,
        content,
    )


def start_all(cluster: Cluster) -> None:
    """Start stand-ins and daemons, and apply the sample settings tree."""
    cluster.start_platform()
    engines = [
        Upstream(name, "engine", ZONES[zone], MODEL, ("--decode-ms", decode_ms))
        for name, zone, decode_ms in ENGINES
    ]
    ledger = Upstream("ledger-1", "ledger", ZONES[0], "ledger")
    cluster.start_upstreams([*engines, ledger])
    cluster.start_daemons({f"vm-{n}": ZONES[n // 3] for n in range(1, 5)})
    cluster.apply_tree(sample_tree())
    cluster.await_ready(*cluster.zones, live_count=2)


class Demo:
    """Runs the calls of the demonstration, and collects their results."""

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster
        self.rows: list[CallResult] = []
        self.violations: list[str] = []
        self._lock = threading.Lock()

    def chat(self, vm: str, caller: str, *, is_stream: bool, tokens: int) -> None:
        """Make one model call, and check that the answer is complete and its own."""
        text = f"{caller} asks {vm} for {tokens}"
        body = chat_body(text, is_stream=is_stream, tokens=tokens)
        kind = "stream" if is_stream else "whole"
        shown = send(
            self.cluster,
            vm,
            "/v1/chat/completions",
            body,
            token=f"{caller}-token",
            what=f"chat {kind} {caller}",
        )
        wanted = "".join(answer_words(body, tokens))
        is_whole = shown.status == 200 and wanted == answer_text(
            shown.body, is_stream=is_stream
        )
        with self._lock:
            self.rows.append(shown._replace(is_whole=is_whole))
            if not is_whole:
                self.violations.append("3: answers are complete and one's own")

    def wipe_twice(self) -> None:
        """Send one wipe twice under one key; it must take effect only once."""
        for vm in ("vm-1", "vm-3"):
            shown = send(
                self.cluster,
                vm,
                "/services/ledger/wipes",
                b'{"lamp": 7}',
                token="wiper-token",
                what="wipe, one key",
                key="wipe-lamp-7",
            )
            self.rows.append(shown)
        effects = self.cluster.control("ledger-1", {})["effects"]
        answers = {row.body for row in self.rows if row.what == "wipe, one key"}
        if len(effects) != 1 or len(answers) != 1:
            self.violations.append("5: a wipe takes effect at most once")

    def run(self) -> None:
        """Make all calls, change a setting while they run, and drain a daemon."""
        threads = [
            threading.Thread(
                target=self.chat,
                args=(f"vm-{1 + index % 4}", caller),
                kwargs={"is_stream": index % 2 == 0, "tokens": 20},
            )
            for index, caller in enumerate(["nurse", "wiper", "pupil"] * 4)
        ]
        for thread in threads:
            thread.start()
        self._change_setting()
        for thread in threads:
            thread.join()
        self.wipe_twice()
        self._drain_under_stream()
        self._check_engines()

    def _change_setting(self) -> None:
        done = self.cluster.cli("settings", "set", "/clinics/chat", "weight=3")
        print(f"settings set /clinics/chat weight=3: {done.stdout.strip()}")
        if done.returncode:
            print(done.stderr)
            self.violations.append("8: accepted settings are in force in every zone")

    def _drain_under_stream(self) -> None:
        stream = threading.Thread(
            target=self.chat,
            args=("vm-4", "nurse"),
            kwargs={"is_stream": True, "tokens": 300},
        )
        stream.start()
        wait_until(
            lambda: self.cluster.status("vm-4")["running_count"] == 1, "stream runs"
        )
        process = self.cluster.processes["vm-4"]
        process.signal(signal.SIGTERM)
        stream.join()
        if process.child.wait(timeout=30):
            self.violations.append("7: graceful shutdown cuts nothing")

    def _check_engines(self) -> None:
        seen: list[str] = []
        for name, _, _ in ENGINES:
            log: list[dict[str, Any]] = self.cluster.control(name, {})["log"]
            seen += [entry["request_id"] for entry in log]
        if len(seen) != len(set(seen)):
            self.violations.append("1: dispatched at most once")

    def print_table(self) -> None:
        """Print the result of each call, and the spans of one call."""
        upstreams = self._upstreams()
        print(f"{'call':22} {'vm':6} {'upstream':10} status outcome   total_ms whole")
        for row in self.rows:
            upstream = upstreams.get(row.request_id, "-")
            print(
                f"{row.what:22} {row.vm:6} {upstream:10} {row.status:6} "
                f"{row.outcome:9} {row.total_ms:8.1f} {row.is_whole}"
            )
        self._print_spans(self.rows[0].request_id)

    def _upstreams(self) -> dict[str, str]:
        found = {}
        for name in self.cluster.zones:
            for event in self.cluster.processes[name].events():
                if event["event"] == "request_complete":
                    found[event["request_id"]] = event["upstream"]
        return found

    def _print_spans(self, request_id: str) -> None:
        path = self.cluster.trace_path

        def spans() -> list[dict[str, Any]]:
            return [json.loads(line) for line in path.read_text().splitlines()]

        def trace_of() -> str:
            for span in spans():
                if span["attributes"].get("request_id") == request_id:
                    return str(span["trace_id"])
            return ""

        wait_until(lambda: bool(trace_of()), "spans are exported")
        trace_id = trace_of()
        print(f"spans of request {request_id}:")
        chosen = [span for span in spans() if span["trace_id"] == trace_id]
        first = min(span["start_ms"] for span in chosen)
        for span in sorted(chosen, key=lambda span: span["start_ms"]):
            print(
                f"  +{span['start_ms'] - first:7.1f} ms {span['name']:10} "
                f"{span['duration_ms']:8.1f} ms on {span['vm']} {span['attributes']}"
            )


def describe(cluster: Cluster) -> dict[str, Any]:
    """Return every address, token and process id of a running cluster."""
    return {
        "processes": {
            name: {"pid": process.child.pid, "addresses": process.addresses}
            for name, process in cluster.processes.items()
        },
        "operator_token": OPERATOR_TOKEN,
        "operator_token_file": str(cluster.token_path),
        "caller_tokens": ["nurse-token", "wiper-token", "pupil-token"],
        "model": MODEL,
    }


def main() -> int:
    """Run the demonstration, or with ``--up`` only keep the cluster running."""
    parser = argparse.ArgumentParser(prog="tests.demo")
    parser.add_argument("--up", action="store_true")
    options = parser.parse_args()
    with Cluster() as cluster:
        start_all(cluster)
        if options.up:
            print(json.dumps(describe(cluster)), flush=True)
            try:
                signal.pause()
            except KeyboardInterrupt:
                return 0
        demo = Demo(cluster)
        demo.run()
        demo.print_table()
        for promise in demo.violations:
            print(f"BROKEN PROMISE {promise}")
        return 1 if demo.violations else 0


if __name__ == "__main__":
    sys.exit(main())

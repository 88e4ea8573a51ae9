"""Starts stand-ins and daemons as processes on loopback, for demo, tests and bench."""

import json
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable, Iterable, Iterator
from contextlib import ExitStack
from pathlib import Path
from types import TracebackType
from typing import IO, Any, NamedTuple, Self

import httpcore
import trustme

from hemlocktrestle.tree import token_digest

CONDITION_TIMEOUT_S = 30.0
"""Time in which what a test waits for has to come about, in seconds."""

HANG_TIMEOUT_S = 600.0
"""Time after which a process that lives and does not answer counts as hung, in seconds.

On a busy machine a process may take long to start.  One that ended is noticed at once.
"""

OPERATOR_TOKEN = "operators-secret"
VM_SETTINGS_TEMPLATE = """\
[vm]
name = "{name}"
zone = "{zone}"
region = "{region}"
[listen]
callers = "127.0.0.1:0"
operators = "127.0.0.1:0"
peers = "127.0.0.1:0"
[platform]
store = "{store}"
list = "{platform}"
[security]
operator_token_file = "{token_file}"
peers_plain = {peers_plain}
callers_plain = true
ca_file = "{certificates}/{name}.ca"
certificate_file = "{certificates}/{name}.crt"
key_file = "{certificates}/{name}.key"
[telemetry]
trace_file = "{trace_file}"
[drain]
notice_ms = {notice_ms}
finish_ms = 60000
"""


class Zone(NamedTuple):
    """A zone and its region."""

    name: str
    region: str


class Upstream(NamedTuple):
    """Description of a stand-in upstream to start."""

    name: str
    kind: str
    zone: Zone
    pool: str
    arguments: tuple[str, ...] = ()


class Process:
    """A child process whose output is logged to a file, as JSON lines."""

    def __init__(self, name: str, command: list[str], folder: Path) -> None:
        self.name = name
        self.log_path = folder / f"{name}.log"
        self._log: IO[bytes] = self.log_path.open("wb")
        self.child = subprocess.Popen(
            command, stdout=self._log, stderr=subprocess.STDOUT
        )
        self.addresses: dict[str, Any] = {}

    def events(self) -> Iterator[dict[str, Any]]:
        """Yield the JSON log lines written so far."""
        for line in self.log_path.read_text(errors="replace").splitlines():
            if line.startswith("{") and line.endswith("}"):
                yield json.loads(line)

    def await_listening(self) -> None:
        """Wait until the process has logged the addresses that it listens on."""

        def found() -> bool:
            for event in self.events():
                if event.get("event") == "listening":
                    self.addresses = event
                    return True
            if self.child.poll() is not None:
                text = self.log_path.read_text(errors="replace")
                code = self.child.returncode
                raise RuntimeError(f"{self.name} ended at start with {code}: {text}")
            return False

        wait_until(found, f"{self.name} listens", limit_s=HANG_TIMEOUT_S)

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        if self.child.poll() is None:
            self.child.send_signal(number)

    def stop(self) -> None:
        """Kill the process, even if it is stopped by SIGSTOP."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        self.child.wait()
        self._log.close()


def wait_until(
    condition: Callable[[], bool], what: str, *, limit_s: float = CONDITION_TIMEOUT_S
) -> None:
    """Poll until a condition holds.

    Raises:
        TimeoutError: with ``what`` as its text, if the condition does not hold
            within ``limit_s``.
    """
    end = time.monotonic() + limit_s
    while not condition():
        if time.monotonic() > end:
            raise TimeoutError(what)
        time.sleep(0.02)


def call_json(
    address: str, target: str, value: Any = None, *, token: str = ""
) -> tuple[int, Any]:
    """Call an address over HTTP, and return the status and the JSON body."""
    headers = [("authorization", f"Bearer {token}")] if token else []
    timeouts = dict.fromkeys(("connect", "pool", "write", "read"), HANG_TIMEOUT_S)
    with httpcore.ConnectionPool(retries=0) as pool:
        response = pool.request(
            "GET" if value is None else "POST",
            f"http://{address}{target}",
            headers=headers,
            content=None if value is None else json.dumps(value).encode(),
            extensions={"timeout": timeouts},
        )
    return response.status, json.loads(response.content or b"null")


class Cluster:
    """The stand-ins and daemons of one test; use as a context manager."""

    def __init__(self, *, has_peer_tls: bool = False) -> None:
        self._authority = trustme.CA() if has_peer_tls else None
        self._stack = ExitStack()
        self.folder = Path(
            self._stack.enter_context(tempfile.TemporaryDirectory(prefix="trestle-"))
        )
        self.processes: dict[str, Process] = {}
        self.zones: dict[str, Zone] = {}
        self.relay_addresses: dict[str, str] = {}
        self.certificate_names: dict[str, str] = {}
        self.trace_path = self.folder / "spans.jsonl"
        self.token_path = self.folder / "operator.token"
        self.token_path.write_text(OPERATOR_TOKEN)

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._stack.close()

    def launch(self, name: str, *command: str) -> Process:
        """Start a Python module as a process, without waiting for it to listen."""
        process = Process(name, [sys.executable, "-m", *command], self.folder)
        self._stack.callback(process.stop)
        self.processes[name] = process
        return process

    def start_platform(self) -> None:
        """Start the stand-ins of the platform, and the relay for faults on links."""
        started = [
            self.launch("store", "tests.standins", "store"),
            self.launch("list", "tests.standins", "list"),
            self.launch("relay", "tests.standins.relay"),
        ]
        for process in started:
            process.await_listening()
        for name in ("store", "list"):
            self.open_link(name, self.processes[name].addresses["address"])

    def start_upstreams(self, upstreams: Iterable[Upstream]) -> None:
        """Start stand-in upstreams concurrently, and add them to the list."""
        started = [
            (one, self.launch(one.name, "tests.standins", one.kind, *one.arguments))
            for one in upstreams
        ]
        for one, process in started:
            process.await_listening()
            labels = {
                "role": "upstream",
                "name": one.name,
                "zone": one.zone.name,
                "region": one.zone.region,
                "state": "live",
                "kind": "engine" if one.kind == "engine" else "plain",
                "pools": one.pool,
                "generation": "g1",
            }
            address = self.open_link(one.name, process.addresses["address"])
            self.add_list_entry(one.name, address, labels)

    def start_daemons(self, zones: dict[str, Zone], *, notice_ms: int = 500) -> None:
        """Start daemons concurrently, and add them to the list."""
        started = [
            self._launch_daemon(name, zone, notice_ms) for name, zone in zones.items()
        ]
        for process in started:
            process.await_listening()
            zone = zones[process.name]
            labels = {
                "role": "vm",
                "name": process.name,
                "zone": zone.name,
                "region": zone.region,
                "state": "live",
            }
            self.open_link(f"{process.name}-callers", process.addresses["callers"])
            address = self.open_link(process.name, process.addresses["peers"])
            self.add_list_entry(process.name, address, labels)

    def open_link(self, name: str, target: str) -> str:
        """Open a link to a target through the relay, and return its address."""
        answer = self.control("relay", {"open": {name: target}})
        address = str(answer["addresses"][name])
        self.relay_addresses[name] = address
        return address

    def set_links(self, mode: str, *names: str) -> None:
        """Set the mode of some relayed links, such as ``cut`` or ``pass``."""
        self.control("relay", {"modes": dict.fromkeys(names, mode)})

    def _launch_daemon(self, name: str, zone: Zone, notice_ms: int) -> Process:
        path = self.folder / f"{name}.toml"
        text = VM_SETTINGS_TEMPLATE.format(
            name=name,
            zone=zone.name,
            region=zone.region,
            store=self.open_link(f"{name}-store", self.standin_address("store")),
            platform=self.open_link(f"{name}-list", self.standin_address("list")),
            token_file=self.token_path,
            trace_file=self.trace_path,
            notice_ms=notice_ms,
            peers_plain="false" if self._authority else "true",
            certificates=self.folder,
        )
        if self._authority is not None:
            self._issue(self._authority, name)
        tomllib.loads(text)
        path.write_text(text)
        self.zones[name] = zone
        return self.launch(name, "hemlocktrestle.daemon", "--settings", str(path))

    def _issue(self, authority: trustme.CA, name: str) -> None:
        """Write the certificate files of a VM."""
        certificate = authority.issue_cert(self.certificate_names.get(name, name))
        authority.cert_pem.write_to_path(str(self.folder / f"{name}.ca"))
        certificate.private_key_pem.write_to_path(str(self.folder / f"{name}.key"))
        certificate.cert_chain_pems[0].write_to_path(str(self.folder / f"{name}.crt"))

    def standin_address(self, name: str) -> str:
        """Return the address of a stand-in itself, not of the link to it."""
        return str(self.processes[name].addresses["address"])

    def add_list_entry(self, name: str, address: str, labels: dict[str, str]) -> None:
        """Add an entry to the platform's list."""
        group = {"targets": [address], "labels": labels}
        self.control("list", {"groups": {name: group}})

    def control(self, name: str, value: dict[str, Any]) -> Any:
        """Call a stand-in's control address."""
        return call_json(self.processes[name].addresses["address"], "/_control", value)[
            1
        ]

    def status(self, name: str) -> Any:
        """Return a daemon's status."""
        address = self.processes[name].addresses["operators"]
        return call_json(address, "/ops/status", token=OPERATOR_TOKEN)[1]

    def await_ready(self, *names: str, live_count: int) -> None:
        """Wait until daemons are ready, with ``live_count`` live VMs in their zone."""

        def ready() -> bool:
            states = [self.status(name) for name in names]
            return all(
                state["is_ready"] and len(state["live_vms"]) >= live_count
                for state in states
            )

        wait_until(ready, f"{', '.join(names)} ready")

    def cli(self, *words: str) -> subprocess.CompletedProcess[str]:
        """Run the operators' command-line tool against all running daemons."""
        operators = [
            process.addresses["operators"]
            for name, process in self.processes.items()
            if name in self.zones and process.child.poll() is None
        ]
        command = [
            sys.executable,
            "-m",
            "hemlocktrestle.cli.__main__",
            "--store",
            self.processes["store"].addresses["address"],
            "--token-file",
            str(self.token_path),
            "--operators",
            ",".join(operators),
            *words,
        ]
        return subprocess.run(
            command, capture_output=True, text=True, timeout=60, check=False
        )

    def apply_tree(self, documents: dict[str, Any]) -> None:
        """Apply documents to the settings tree by the command-line tool.

        Raises:
            RuntimeError: if the tool fails.
        """
        path = self.folder / "tree.json"
        path.write_text(json.dumps(documents))
        done = self.cli("settings", "apply", str(path), "--wait-s", "20")
        if done.returncode:
            raise RuntimeError(done.stdout + done.stderr)


def sample_tree() -> dict[str, Any]:
    """Return the documents of a tree of two customers, with callers of three tiers."""

    def customer(**tiers: str) -> dict[str, Any]:
        return {
            "services": {
                "chat": {
                    "callers": {
                        caller: {"rules": {"tier": tier}}
                        for caller, tier in tiers.items()
                    }
                }
            },
            "tokens": {
                token_digest(f"{caller}-token"): {"caller": caller} for caller in tiers
            },
        }

    return {
        "root": {
            "rules": {"deadline_ms": 30000},
            "services": {"ledger": {"is_repeatable": False}},
        },
        "customers/clinics": customer(nurse="high", wiper="normal"),
        "customers/schools": customer(pupil="low"),
    }

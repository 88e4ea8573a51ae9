"""Starts one daemon with stand-ins, and measures what its process uses."""

import json
import subprocess
import sys
from contextlib import ExitStack
from types import TracebackType
from typing import Any, Self

from bench.relay._cost import Cost, cost_of
from tests.cluster import Cluster, Zone, sample_tree

SOURCE_COUNT = 1
UPSTREAMS_PER_SOURCE = 64
"""Entries in the platform's list per source; so many that slots never limit."""

LOAD_TIMEOUT_S = 150.0
ZONE = Zone("pwani-a", "pwani")
VM = "vm-1"

LIMITS = {
    "rate_per_s": 10_000.0,
    "rate_burst_count": 10_000,
    "tokens_per_s": 1e9,
    "concurrency_count": 10_000,
}
"""Rules so high that they never limit a measurement."""


class RelayTestbed:
    """One daemon with cheap token sources as upstreams; use as a context manager.

    Args:
        source_count: number of processes that send tokens.
    """

    def __init__(self, *, source_count: int = SOURCE_COUNT) -> None:
        self._stack = ExitStack()
        self._source_count = source_count
        self.cluster = Cluster()

    def __enter__(self) -> Self:
        cluster = self._stack.enter_context(self.cluster)
        cluster.start_platform()
        for index in range(self._source_count):
            self._start_source(f"source-{index}")
        cluster.start_daemons({VM: ZONE})
        tree = sample_tree()
        tree["root"]["rules"].update(LIMITS)
        cluster.apply_tree(tree)
        cluster.await_ready(VM, live_count=1)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._stack.close()

    @property
    def callers(self) -> str:
        """Address of the daemon's listener for callers."""
        return str(self.cluster.processes[VM].addresses["callers"])

    @property
    def source(self) -> str:
        """Address of the first source."""
        return str(self.cluster.processes["source-0"].addresses["address"])

    @property
    def pid(self) -> int:
        """Process id of the daemon."""
        return self.cluster.processes[VM].child.pid

    def cost(self, name: str = VM) -> Cost:
        """Return processor time and memory of one of the processes."""
        return cost_of(self.cluster.processes[name].child.pid)

    def load(self, *, address: str | None = None, **options: Any) -> Any:
        """Run a load generator to its end, and return its JSON output."""
        process = self.start_load(address=address, **options)
        output, _ = process.communicate(timeout=LOAD_TIMEOUT_S)
        return json.loads(output)

    def start_load(
        self, *, address: str | None = None, **options: Any
    ) -> subprocess.Popen[str]:
        """Start a load generator; its options are those of its command line."""
        words = ["--address", address or self.callers]
        for name, value in options.items():
            words += [f"--{name.replace('_', '-')}", str(value)]
        return subprocess.Popen(
            [sys.executable, "-m", "bench.relay.load", *words],
            stdout=subprocess.PIPE,
            text=True,
        )

    def _start_source(self, name: str) -> None:
        process = self.cluster.launch(name, "bench.relay.source")
        process.await_listening()
        for index in range(UPSTREAMS_PER_SOURCE):
            entry = f"{name}-{index:02d}"
            labels = {
                "role": "upstream",
                "name": entry,
                "zone": ZONE.name,
                "region": ZONE.region,
                "state": "live",
                "kind": "engine",
                "pools": "assistant",
                "generation": "g1",
            }
            self.cluster.add_list_entry(entry, process.addresses["address"], labels)

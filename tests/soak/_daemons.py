"""Soak test of the zone daemons: random faults, then a check of all guarantees.

A seed fixes the order of calls and the order of faults; how the two interleave
depends on the machine.
"""

import random
import signal
import time
from collections import Counter
from collections.abc import Callable

from tests.cluster import Cluster
from tests.observer import CHECKS, Run, check_all
from tests.processes._session import Session, start_two_zones

PAUSE_S = 0.05
FAULT_EVERY_S = 2.0
PAUSE_PROCESS_S = 2.5
OUTAGE_S = 3.0

Fault = Callable[["Soak"], str]

FAULTS: dict[str, Fault] = {}


def fault(name: str) -> Callable[[Fault], Fault]:
    """Register a fault that a soak may inject."""

    def register(inject: Fault) -> Fault:
        FAULTS[name] = inject
        return inject

    return register


class Soak:
    """One run: random calls with a fault at regular intervals.

    Args:
        session: the running cluster and its calls.
        seed: seed of all random choices.
    """

    def __init__(self, session: Session, seed: int) -> None:
        self.session = session
        self.cluster: Cluster = session.cluster
        self.random = random.Random(seed)
        self.injected: list[str] = []
        self._call_count = 0
        self._sent_keys: list[tuple[str, str]] = []

    def run(self, duration_s: float) -> None:
        """Send calls and inject faults for a while, then wait for all calls."""
        end = time.monotonic() + duration_s
        next_fault = time.monotonic() + FAULT_EVERY_S
        while time.monotonic() < end:
            self._send_one()
            if time.monotonic() >= next_fault:
                self._inject()
                next_fault = time.monotonic() + FAULT_EVERY_S
            time.sleep(PAUSE_S)
        self.session.join()

    def pick_vm(self) -> str:
        """Choose a VM at random."""
        return self.random.choice(sorted(self.cluster.zones))

    def _send_one(self) -> None:
        self._call_count += 1
        number = self._call_count
        vm = self.pick_vm()
        if self.random.random() < 0.3:
            self._send_wipe(vm, number)
            return
        self.session.start(
            self.session.chat,
            vm,
            f"call {number}",
            caller=self.random.choice(["nurse", "wiper", "pupil"]),
            tokens=self.random.choice([4, 16, 64]),
            is_stream=self.random.random() < 0.7,
        )

    def _send_wipe(self, vm: str, number: int) -> None:
        if self._sent_keys and self.random.random() < 0.4:
            job, key = self.random.choice(self._sent_keys)
        else:
            job, key = f"job-{number}", f"key-{number}"
            self._sent_keys.append((job, key))
        self.session.start(self.session.wipe, vm, job, key=key)

    def _inject(self) -> None:
        name = self.random.choice(sorted(FAULTS))
        detail = FAULTS[name](self)
        self.injected.append(name)
        print(f"  fault {name}: {detail}", flush=True)


@fault("freeze a daemon")
def _freeze(soak: Soak) -> str:
    vm = soak.pick_vm()
    process = soak.cluster.processes[vm]
    process.signal(signal.SIGSTOP)
    time.sleep(PAUSE_PROCESS_S)
    process.signal(signal.SIGCONT)
    return vm


@fault("store outage")
def _store_outage(soak: Soak) -> str:
    soak.cluster.control("store", {"is_down": True})
    time.sleep(OUTAGE_S)
    soak.cluster.control("store", {"is_down": False})
    return "store"


@fault("lost answers of the store")
def _lost_answers(soak: Soak) -> str:
    count = soak.random.randint(1, 3)
    soak.cluster.control("store", {"lose_answers": count})
    return str(count)


@fault("cut a daemon off from its peers")
def _cut(soak: Soak) -> str:
    vm = soak.pick_vm()
    soak.cluster.set_links("cut", vm)
    time.sleep(OUTAGE_S)
    soak.cluster.set_links("pass", vm)
    return vm


@fault("silence open links")
def _silence(soak: Soak) -> str:
    vm = soak.pick_vm()
    names = [vm, f"{vm}-store", f"{vm}-list"]
    soak.cluster.set_links("silent", *names)
    soak.cluster.set_links("pass", *names)
    return vm


@fault("change a setting")
def _change(soak: Soak) -> str:
    weight = soak.random.randint(1, 9)
    done = soak.cluster.cli("settings", "set", "/clinics", f"weight={weight}")
    return (done.stdout or done.stderr).strip().splitlines()[0]


@fault("break an engine's streams")
def _break_streams(soak: Soak) -> str:
    engine = soak.random.choice(["engine-a1", "engine-a2", "engine-b1"])
    soak.cluster.control(engine, {"break_after": 3})
    time.sleep(0.5)
    soak.cluster.control(engine, {"break_after": None})
    return engine


@fault("break the ledger's answers")
def _break_ledger(soak: Soak) -> str:
    soak.cluster.control("ledger-a", {"break_after_effect": 2})
    return "ledger-a"


def print_table(soak: Soak, run: Run) -> bool:
    """Print calls, faults, outcomes and violations; tell whether there were any."""
    outcomes = Counter((call.status, call.outcome or "-") for call in run.calls)
    print(f"calls {len(run.calls)}, dispatches {len(run.dispatches)}")
    for (status, outcome), count in sorted(outcomes.items()):
        print(f"  {status or 'none':>5} {outcome:10} {count}")
    for name, count in sorted(Counter(soak.injected).items()):
        print(f"  fault {name}: {count}")
    violations = check_all(run)
    broken = Counter(violation.promise for violation in violations)
    for promise in sorted(CHECKS):
        print(f"  promise {promise}: broken {broken[promise]} times")
    for violation in violations:
        print(f"BROKEN PROMISE {violation.promise}: {violation.what}")
    return bool(violations)


def soak_daemons(seconds: float, seed: int) -> int:
    """Run a soak of the zone daemons; returns 1 if a guarantee was violated."""
    print(f"soak of daemons for {seconds} s with seed {seed}")
    with Cluster() as cluster:
        soak = Soak(start_two_zones(cluster), seed)
        soak.run(seconds)
        return int(print_table(soak, soak.session.run()))

"""Registry of the faults that a soak injects from outside the processes."""

import json
import random
import signal
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager

import trio

from tests.platform.documents import REGISTRATION, SETTINGS
from tests.soak._deployment import VM_PREFIX, Deployment, Replica, Vm
from tests.soak._timeline import STORE
from tests.standins.relay import RelayedLink

GRACE_S = SETTINGS["contractBounds"]["graceS"]
DRAIN_S = SETTINGS["contractBounds"]["drainMs"] / 1000

END_SLACK_S = 1.0
"""Tolerance after the grace period for a process to exit, in seconds."""


def _odd_entry(field: str, value: object) -> bytes:
    """Return an entry that is sound but for one field."""
    entry = {**REGISTRATION, "address": "127.0.0.1:9", field: value}
    return json.dumps(entry).encode()


LINK_MODES = ("cut", "silent", "hole", "one_way", "slow")

REPLICA_MODES = ("break", "mute", "fail", "garbage", "late", "full")

PAUSE_S_MAX = 1.4
"""Longest pause of a sound replica, in seconds.

A stream's caller has 2 s, so the answer still comes in time.
"""

RESTORED_S = 2.5
"""Time for the processes to take over what was written again, in seconds.

The platform states about two; the rest is for the update to arrive.
"""

ODD_ENTRIES = (
    b"{",
    b'{"service": 3}',
    b"\xff\x00",
    b"[]",
    b"[" * 100_000,
    _odd_entry("slots", 10**30),
    _odd_entry("born", 10**30),
    _odd_entry("address", "127.0.0.1:99999"),
    _odd_entry("coldRemainingMs", float("inf")),
)
"""Entries of another writer that name no replica to use."""

Fault = Callable[[Deployment, random.Random], Awaitable[None]]

FAULTS: dict[str, Fault] = {}


def fault(function: Fault) -> Fault:
    """Register a fault under its function's name."""
    FAULTS[function.__name__] = function
    return function


@contextmanager
def disturbed(deployment: Deployment, name: str) -> Iterator[None]:
    """Record that something is disturbed while the context is active."""
    from_s = trio.current_time()
    deployment.timeline.record(name, from_s, float("inf"))
    try:
        yield
    finally:
        deployment.timeline.record_end(name, from_s, trio.current_time())


def _vm(deployment: Deployment, rng: random.Random) -> Vm:
    return deployment.vms[rng.choice(sorted(deployment.vms))]


def _replica(deployment: Deployment, rng: random.Random) -> Replica:
    return deployment.replicas[rng.choice(sorted(deployment.replicas))]


async def _disturb_link(
    deployment: Deployment,
    name: str,
    link: RelayedLink | None,
    rng: random.Random,
    *,
    longest_s: float,
) -> None:
    """Disturb a link for a while, and record ``name`` as disturbed meanwhile."""
    assert link is not None
    with disturbed(deployment, name):
        link.set_mode(rng.choice(LINK_MODES))
        await trio.sleep(rng.uniform(0.5, longest_s))
        link.set_mode("pass")


async def _end_and_restart(
    deployment: Deployment,
    vm: Vm,
    rng: random.Random,
    end: Callable[[Deployment, Vm], Awaitable[None]],
) -> None:
    """End a process and start it again, unless another fault is restarting it."""
    if vm.is_restarting or not vm.is_up:
        return
    vm.is_restarting = True
    with disturbed(deployment, vm.name):
        await end(deployment, vm)
        await trio.sleep(rng.uniform(0.05, 1.5))
        await vm.start()
    vm.is_restarting = False


async def _kill(deployment: Deployment, vm: Vm) -> None:
    vm.send(signal.SIGKILL)
    await vm.wait()


async def _stop(deployment: Deployment, vm: Vm) -> None:
    vm.send(signal.SIGTERM)
    with trio.move_on_after(GRACE_S + END_SLACK_S):
        await vm.wait()
        return
    if deployment.timeline.is_undisturbed(
        f"frozen {vm.name}", 0.0, trio.current_time()
    ):
        vm.overdue_count += 1
    await _kill(deployment, vm)


@fault
async def kill_a_process(deployment: Deployment, rng: random.Random) -> None:
    """One process is killed and restarted."""
    await _end_and_restart(deployment, _vm(deployment, rng), rng, _kill)


@fault
async def kill_all_processes(deployment: Deployment, rng: random.Random) -> None:
    """All processes are killed at once and restarted at different times."""
    async with trio.open_nursery() as nursery:
        for vm in deployment.vms.values():
            nursery.start_soon(_end_and_restart, deployment, vm, rng, _kill)


@fault
async def stop_a_process(deployment: Deployment, rng: random.Random) -> None:
    """One process gets SIGTERM, must exit in time, and is restarted."""
    await _end_and_restart(deployment, _vm(deployment, rng), rng, _stop)


@fault
async def freeze_a_process(deployment: Deployment, rng: random.Random) -> None:
    """One process is paused with SIGSTOP."""
    vm = _vm(deployment, rng)
    if not vm.is_up:
        return
    process = vm.process
    with disturbed(deployment, vm.name), disturbed(deployment, f"frozen {vm.name}"):
        vm.send(signal.SIGSTOP)
        await trio.sleep(rng.uniform(0.3, 3.0))
        if vm.process is process:
            vm.send(signal.SIGCONT)


@fault
async def reload_a_process(deployment: Deployment, rng: random.Random) -> None:
    """One process gets SIGHUP to read its settings again."""
    vm = _vm(deployment, rng)
    if vm.is_up:
        vm.send(signal.SIGHUP)


@fault
async def disturb_a_link_to_the_store(
    deployment: Deployment, rng: random.Random
) -> None:
    """One VM's link to the store is cut, silent, one-way or slow."""
    vm = _vm(deployment, rng)
    await _disturb_link(deployment, vm.name, vm.store_link, rng, longest_s=4.0)


@fault
async def disturb_a_link_to_a_process(
    deployment: Deployment, rng: random.Random
) -> None:
    """The other processes' link to one process is cut, silent, one-way or slow."""
    vm = _vm(deployment, rng)
    await _disturb_link(deployment, vm.name, vm.peer_link, rng, longest_s=4.0)


@fault
async def disturb_a_link_to_a_replica(
    deployment: Deployment, rng: random.Random
) -> None:
    """The link to one replica is cut, silent, one-way or slow."""
    replica = _replica(deployment, rng)
    await _disturb_link(deployment, replica.key, replica.link, rng, longest_s=3.0)


@fault
async def refuse_calls_to_the_store(deployment: Deployment, rng: random.Random) -> None:
    """The store answers 503 or 429."""
    with disturbed(deployment, STORE):
        deployment.store.status = rng.choice([503, 429])
        await trio.sleep(rng.uniform(0.5, 4.0))
        deployment.store.status = 0


@fault
async def silence_the_store(deployment: Deployment, rng: random.Random) -> None:
    """The store accepts calls and does not answer."""
    with disturbed(deployment, STORE):
        deployment.store.silent = True
        await trio.sleep(rng.uniform(0.5, 4.0))
        deployment.store.silent = False


@fault
async def lose_answers_of_the_store(deployment: Deployment, rng: random.Random) -> None:
    """Some writes take effect but are not answered."""
    with disturbed(deployment, STORE):
        deployment.store.lose_answers = rng.randint(1, 4)
        await trio.sleep(3.0)
        deployment.store.lose_answers = 0


@fault
async def spoil_answers_of_the_store(
    deployment: Deployment, rng: random.Random
) -> None:
    """The store's answers are malformed."""
    with disturbed(deployment, STORE):
        deployment.store.garbage = True
        await trio.sleep(rng.uniform(0.3, 2.0))
        deployment.store.garbage = False


@fault
async def forget_history_of_the_store(
    deployment: Deployment, rng: random.Random
) -> None:
    """The store loses its history, so that watches have to start again."""
    with disturbed(deployment, STORE):
        deployment.store.forget()
        await trio.sleep(0.2)


@fault
async def lapse_entries_in_the_store(
    deployment: Deployment, rng: random.Random
) -> None:
    """The store is down; some entries lapse and are registered again after it."""
    with disturbed(deployment, STORE):
        deployment.store.status = 503
        await trio.sleep(rng.uniform(0.5, 2.0))
        lapsed = [
            replica for replica in deployment.replicas.values() if rng.random() < 0.5
        ]
        for replica in lapsed:
            deployment.store.remove(replica.key)
        for key in [
            key for key in deployment.store.entries if key.startswith(VM_PREFIX)
        ]:
            deployment.store.end_lease(deployment.store.entries[key].lease)
        deployment.store.status = 0
        await trio.sleep(rng.uniform(0.2, 1.5))
        for replica in lapsed:
            if replica.standin.replica_id in deployment.replicas:
                deployment.store.put(replica.key, replica.entry())


@fault
async def restore_the_store(deployment: Deployment, rng: random.Random) -> None:
    """The store is away for a moment and comes back from an older copy."""
    copy = deployment.store.copy()
    await trio.sleep(rng.uniform(0.5, 3.0))
    with disturbed(deployment, STORE):
        deployment.store.status = 503
        await trio.sleep(rng.uniform(0.0, 1.0))
        deployment.store.restore(copy)
        deployment.store.status = 0
        await trio.sleep(rng.uniform(0.0, 1.0))
        deployment.write_again()
        await trio.sleep(RESTORED_S)


@fault
async def spoil_a_replica(deployment: Deployment, rng: random.Random) -> None:
    """One replica runs requests but answers them wrongly or not at all."""
    replica = _replica(deployment, rng)
    with disturbed(deployment, replica.key):
        replica.standin.mode = rng.choice(REPLICA_MODES)
        await trio.sleep(rng.uniform(0.5, 3.0))
        replica.standin.mode = ""


@fault
async def pause_a_replica(deployment: Deployment, rng: random.Random) -> None:
    """One replica sends nothing for a moment and goes on, which disturbs nothing."""
    standin = _replica(deployment, rng).standin
    standin.is_paused = True
    await trio.sleep(rng.uniform(0.3, PAUSE_S_MAX))
    standin.is_paused = False


@fault
async def answer_without_framing(deployment: Deployment, rng: random.Random) -> None:
    """One replica's answers end with their connections, which disturbs nothing."""
    standin = _replica(deployment, rng).standin
    if standin.mode:
        return
    standin.mode = "unframed"
    await trio.sleep(rng.uniform(0.5, 3.0))
    if standin.mode == "unframed":
        standin.mode = ""


@fault
async def crash_a_replica(deployment: Deployment, rng: random.Random) -> None:
    """One replica disappears; its entry is removed later and another is added."""
    replica = _replica(deployment, rng)
    deployment.remove_replica(replica)
    await trio.sleep(rng.uniform(0.5, 3.0))
    deployment.store.remove(replica.key)
    await deployment.add_replica(replica.service)


@fault
async def drain_a_replica(deployment: Deployment, rng: random.Random) -> None:
    """One replica is marked as draining or deregisters, and stops a while later."""
    replica = _replica(deployment, rng)
    if replica.draining_from_s < float("inf"):
        return
    await deployment.add_replica(replica.service)
    replica.draining_from_s = trio.current_time()
    if rng.random() < 0.7:
        deployment.store.put(replica.key, replica.entry("draining"))
    else:
        deployment.store.remove(replica.key)
    await trio.sleep(DRAIN_S + rng.uniform(0.5, 2.0))
    deployment.remove_replica(replica)
    deployment.store.remove(replica.key)


@fault
async def change_the_configuration(deployment: Deployment, rng: random.Random) -> None:
    """New versions are written one by one or in quick succession."""
    for _ in range(rng.randint(1, 4)):
        deployment.configure()
        await trio.sleep(rng.choice([0.02, 0.5]))


@fault
async def write_a_broken_configuration(
    deployment: Deployment, rng: random.Random
) -> None:
    """A truncated configuration is written, which must not be applied."""
    good = deployment.store.entries["op/config"].value
    deployment.store.put("op/config", good[: len(good) // 2])
    await trio.sleep(0.3)
    deployment.configure()


@fault
async def register_garbage(deployment: Deployment, rng: random.Random) -> None:
    """A malformed registration is written, which must be ignored."""
    key = f"servers/x-{rng.randint(1, 999)}"
    deployment.store.put(key, rng.choice(ODD_ENTRIES))
    await trio.sleep(1.0)
    deployment.store.remove(key)

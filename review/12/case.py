"""Connections to the store go silent, and a replica is gone without a notice."""

import asyncio
import itertools
import sys
import time
from functools import partial
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "rig3"))

from rig import BOUNDS, LIMITS, Case, Edge, Proxy, Replica, ask, main  # noqa: E402

ZONES = {"pwani-a": "pwani", "pwani-b": "pwani"}
CONTACT_S = BOUNDS["contactMs"] / 1000
DRAIN_S = BOUNDS["drainMs"] / 1000
SERVES_ON_S = 3.9
"""Time for which the replica serves on: ``drainMs`` and a little longer."""

WORK_S = 0.25

MARGIN_S = 0.05
"""Time after the moment of the rule before requests are sent."""

CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r-wipe",
            "host": "callers.example",
            "prefix": "/wipe/",
            "kind": "non_idempotent",
            "timeoutMs": 3000,
            "targetLatencyMs": 400,
            "priority": 2,
            "service": "daftari",
            "attempts": 1,
            "public": True,
        }
    ],
    "services": [
        {
            "name": "daftari",
            "healthPath": "/health",
            "maxConns": 96,
            "protocol": "h1",
            "tls": False,
        }
    ],
    "limits": LIMITS,
    "tenants": [],
}


class Clients:
    """Clients that log wipes.

    Args:
        case: the case.
    """

    def __init__(self, case: Case) -> None:
        self._case = case
        self._numbers = itertools.count(1)
        self.sent_s: dict[str, float] = {}
        self.answers: dict[str, int] = {}

    async def send(self, edge: Edge) -> None:
        """Send one request."""
        attempt = f"w{next(self._numbers):04}"
        self.sent_s[attempt] = self._case.record.now_s()
        self._case.record.note(f"client sends {attempt} to {edge.name}")
        lines = {
            "Host": "callers.example",
            "X-Attempt-Id": attempt,
            "X-Deadline-Ms": "6000",
        }
        answer = await ask(edge.front, "POST", "/wipe/1", lines, body=b"x" * 600)
        status = answer.status if answer is not None and answer.is_whole else 0
        self._case.record.note(f"client gets {status} for {attempt}")
        self.answers[attempt] = status


async def await_watch(case: Case, edge: Edge) -> None:
    """Wait until a machine, that which schedules here, begins to watch the replicas."""
    until_s = time.monotonic() + 4.0
    while time.monotonic() < until_s:
        began_s = case.store.watched_s.get((edge.name, "servers/"), 0.0)
        if 0.02 < time.monotonic() - began_s < 0.1:
            return
        await asyncio.sleep(0.01)


async def play(case: Case) -> bool:
    """Let the connections go silent, then a replica leave; send wipes later."""
    replicas = []
    for zone, number in itertools.product(sorted(ZONES), range(2)):
        replica = Replica(
            case.record,
            f"i-{zone}-{number}",
            "daftari",
            zone=zone,
            slots=6,
            work_s=WORK_S,
        )
        await replica.start()
        case.store.put(f"servers/{replica.name}", replica.entry())
        replicas.append(replica)
    case.store.put("op/config", CONFIGURATION)
    paths = []
    for number, zone in enumerate(sorted(ZONES)):
        name = f"front-{zone}-1"
        path = Proxy(partial(str, await case.store.address_for(name)))
        await path.start()
        paths.append(path)
        edge = Edge(
            case.temporary,
            name,
            zone,
            f"127.0.0.{11 + number}",
            zones=ZONES,
            store=path.address,
        )
        case.edges.append(edge)
        await edge.start()
    for edge in case.edges:
        await edge.wait_ready()
    clients = Clients(case)
    await asyncio.sleep(8.0)
    for edge in case.edges * 4:
        await clients.send(edge)
    await asyncio.sleep(1.0)
    await await_watch(case, case.edges[0])
    silent_s = case.record.now_s()
    if case.has_trouble:
        case.record.note("open connections to the store go silent; new ones work")
        for path in paths:
            path.silence()
    await asyncio.sleep(0.3)
    leaving = replicas[0]
    leaving.is_leaving = True
    case.store.remove(f"servers/{leaving.name}")
    gone_s = case.record.now_s()
    case.record.note(f"the store acknowledges that {leaving.name} is gone")
    bound_s = max(silent_s + CONTACT_S, gone_s + DRAIN_S) + MARGIN_S
    await asyncio.sleep(bound_s - case.record.now_s())
    case.record.note("from here on, no request may reach it")
    asyncio.get_running_loop().call_later(
        gone_s + SERVES_ON_S - case.record.now_s(), leaving.exit
    )
    async with asyncio.TaskGroup() as tasks:
        for edge in case.edges * 8:
            tasks.create_task(clients.send(edge))
    for edge in case.edges * 4:
        await clients.send(edge)
    await asyncio.sleep(1.0)
    late = [
        run for run in leaving.runs if clients.sent_s[run.attempt] > bound_s - MARGIN_S
    ]
    lost = [run.attempt for run in late if clients.answers[run.attempt] != 200]
    case.record.note(f"late at {leaving.name}: {[run.attempt for run in late]}")
    case.record.note(f"run there, and never answered with success: {lost}")
    return not late


if __name__ == "__main__":
    main(HERE, play)

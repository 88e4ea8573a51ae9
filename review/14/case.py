"""The process that schedules for a region is killed, and forgets what it counted."""

import asyncio
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "rig3"))

from quota import Tenant, is_kept, start_replicas  # noqa: E402
from rig import Case, Edge, main  # noqa: E402

ZONES = {"pwani-a": "pwani", "pwani-b": "pwani"}
PRESS_AT_S = 14.0
KILL_AFTER_S = 3.0
RESTART_AFTER_S = 1.0
PRESS_FOR_S = 11.0
PER_S = 20
"""Requests a second at each machine: four times the quota together."""


async def play(case: Case) -> bool:
    """Kill the machine that wrote last to the store while a tenant presses."""
    replicas = await start_replicas(case, sorted(ZONES), 3)
    for number, zone in enumerate(("pwani-a", "pwani-a", "pwani-b", "pwani-b")):
        name = f"front-{zone}-{number}"
        edge = Edge(
            case.temporary,
            name,
            zone,
            f"127.0.0.{11 + number}",
            zones=ZONES,
            store=await case.store.address_for(name),
        )
        case.edges.append(edge)
        await edge.start()
    for edge in case.edges:
        await edge.wait_ready()
    await asyncio.sleep(PRESS_AT_S - case.record.now_s())
    tenant = Tenant(case)
    async with asyncio.TaskGroup() as tasks:
        for edge in case.edges:
            tasks.create_task(tenant.press(edge, PER_S, PRESS_FOR_S))
        await asyncio.sleep(KILL_AFTER_S)
        killed = next(e for e in case.edges if e.name == case.store.last_writer)
        if case.has_trouble:
            case.record.note(f"{killed.name} is killed")
            killed.send(signal.SIGKILL)
            await asyncio.sleep(RESTART_AFTER_S)
            await killed.start()
            case.record.note(f"{killed.name} is started again")
    case.record.note(f"answers: {sorted(tenant.statuses.items())}")
    return is_kept(case, replicas)


if __name__ == "__main__":
    main(HERE, play)

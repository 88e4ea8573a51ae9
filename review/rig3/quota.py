"""Requests of one tenant beyond its quota, and the check of rule QUOTA."""

import asyncio
import itertools
from collections import Counter

from rig import BOUNDS, LIMITS, Case, Edge, Replica, ask

RATE_PER_S = 140_771
BURST = 140_771
"""Quota of the tenant, as in the example of ``fleetbench wire``."""

PROMPT_TOKENS, OUTPUT_TOKENS = 6_610, 380
"""Tokens of a request of the kind ``season-report``: 76 events of 5 tokens."""

PATIENCE_S = 3.2
"""Time after which clients leave a stream that sends nothing: four objectives."""

WINDOW_S = BOUNDS["quotaWindowS"]

ALLOWED = (RATE_PER_S * WINDOW_S + BURST) * (1 + BOUNDS["quotaOver"]) + BOUNDS[
    "quotaSlack"
]
"""Tokens that rule QUOTA allows in a window."""

CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r-season",
            "host": "callers.example",
            "prefix": "/season/",
            "kind": "streaming",
            "timeoutMs": 15000,
            "targetLatencyMs": 800,
            "priority": 0,
            "service": "msaidizi",
            "attempts": 1,
            "public": False,
            "sessionAffinity": True,
            "streamResume": False,
            "targetGapMs": 300,
        }
    ],
    "services": [
        {
            "name": "msaidizi",
            "healthPath": "/health",
            "maxConns": 360,
            "protocol": "h1",
            "tls": False,
            "engine": {"slots": 12, "kvCapacityTokens": 734175, "stride": 5},
        }
    ],
    "limits": LIMITS,
    "tenants": [
        {
            "name": "clinics",
            "apiKeys": ["key-1"],
            "priority": 1,
            "unit": "tokens",
            "plainTokens": 200,
            "ratePerS": RATE_PER_S,
            "burst": BURST,
        }
    ],
}


async def start_replicas(case: Case, zones: list[str], count: int) -> list[Replica]:
    """Start replicas in each zone, and register them."""
    found = []
    for zone, number in itertools.product(zones, range(count)):
        replica = Replica(
            case.record,
            f"i-{zone}-{number}",
            "msaidizi",
            zone=zone,
            slots=12,
            work_s=0.1,
            event_count=5,
        )
        await replica.start()
        case.store.put(f"servers/{replica.name}", replica.entry())
        found.append(replica)
    case.store.put("op/config", CONFIGURATION)
    return found


class Tenant:
    """Sends requests of one tenant.

    Args:
        case: the case.
    """

    def __init__(self, case: Case) -> None:
        self._case = case
        self._numbers = itertools.count(1)
        self.statuses: Counter[tuple[str, int]] = Counter()

    async def send(self, edge: Edge) -> int:
        """Send one request; return the status of its answer, 0 without one."""
        attempt = f"a{next(self._numbers):05}"
        self._case.record.note(f"client sends {attempt} to {edge.name}")
        lines = {
            "Host": "callers.example",
            "X-Attempt-Id": attempt,
            "X-Model": "m",
            "X-Token-Usage": f"{PROMPT_TOKENS},{OUTPUT_TOKENS}",
            "X-Prompt-Prefix": f"5c1e07a2:60,{attempt.encode().hex()}:6550",
            "X-Deadline-Ms": "15000",
            "Api-Key": "key-1",
        }
        answer = await ask(
            edge.front, "POST", "/season/1", lines, body=b"x" * 500, limit_s=PATIENCE_S
        )
        status = answer.status if answer is not None else 0
        self._case.record.note(f"client gets {status} for {attempt} from {edge.name}")
        self.statuses[edge.name, status] += 1
        return status

    async def press(self, edge: Edge, per_s: float, seconds: float) -> None:
        """Send requests at a steady rate."""
        async with asyncio.TaskGroup() as tasks:
            for _ in range(int(per_s * seconds)):
                tasks.create_task(self.send(edge))
                await asyncio.sleep(1 / per_s)


def is_kept(case: Case, replicas: list[Replica]) -> bool:
    """Tell whether rule QUOTA held in each window."""
    runs = sorted(run for replica in replicas for run in replica.runs)
    most, at_s, spent, first = 0, 0.0, 0, 0
    for run in runs:
        spent += run.tokens
        while runs[first].at_s <= run.at_s - WINDOW_S:
            spent -= runs[first].tokens
            first += 1
        if spent > most:
            most, at_s = spent, run.at_s
    case.record.note(
        f"most tokens in {WINDOW_S} s: {most}, until {at_s:.3f}; allowed {ALLOWED:.0f}"
    )
    return most <= ALLOWED

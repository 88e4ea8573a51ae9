"""Tests that each check of the soak detects a violation of its guarantee."""

from pathlib import Path
from typing import Any

import trio
from testtools.matchers import Contains

from tests.soak._callers import CallerRecord
from tests.soak._checks import CHECKS, TIMED_CHECKS, collect_evidence
from tests.soak._deployment import EVENT_COUNT, Deployment, Replica
from tests.soak._timeline import STORE
from tests.standins.replica import ReplicaStandIn, Run
from tests.support import TrioTestCase


def caller_record(attempt: str = "a1", **fields: Any) -> CallerRecord:
    """Return an ordinary answered request, long after any disturbance."""
    values: dict[str, Any] = {
        "attempt": attempt,
        "kind": "log",
        "path": f"/{fields.get('kind', 'log')}/{attempt}",
        "vm": "vm-0",
        "at_s": 100.0,
        "ended_s": 100.2,
        "status": 200,
        "seal": "seal-i-1",
        "echoed": attempt,
        "body": b"done",
        "is_whole": True,
        "left_s": None,
    }
    return CallerRecord(**{**values, **fields})


def stream(last: int, **fields: Any) -> CallerRecord:
    """Return a stream that ended regularly after an event."""
    events = "".join(f"id: {n}\ndata: a1\n\n" for n in range(1, last + 1))
    return caller_record(kind="advice", body=events.encode(), **fields)


class CheckTests(TrioTestCase):
    """Correct records pass, and each violation is found by its check."""

    async def _violated(
        self,
        one: CallerRecord,
        *runs: dict[str, Any],
        store_at_s: float = 0.0,
        **options: Any,
    ) -> list[str]:
        async with trio.open_nursery() as nursery:
            deployment = Deployment(nursery, Path(), lambda line: None)
        deployment.timeline.record(STORE, store_at_s, store_at_s + 1)
        standin = ReplicaStandIn("i-1")
        replica = Replica(standin, "ledger")
        replica.draining_from_s = options.pop("leaves_s", float("inf"))
        replica.ended_s = options.pop("replica_ended_s", float("inf"))
        if replica.ended_s < float("inf"):
            deployment.removed_replicas.append(replica)
        else:
            deployment.replicas["i-1"] = replica
        deployment.versions = options.pop("versions", [])
        tenant = {"x-tenant": "clinics"} if one.kind == "advice" else {}
        for fields in runs:
            values = {
                "attempt": one.attempt,
                "replica": "i-1",
                "headers": {"x-deadline-ms": "1900", **tenant},
                "target": one.path,
                "at_s": 100.1,
            }
            standin.runs.append(Run(**{**values, **fields}))
        evidence = collect_evidence(deployment, [one])
        checks = {**CHECKS, **TIMED_CHECKS}
        return [name for name, found in checks.items() if list(found(evidence))]

    async def test_correct_records_pass(self) -> None:
        """Complete answers, complete streams and refusals without a run pass."""
        for one in (caller_record(), stream(EVENT_COUNT)):
            self.assertEqual([], await self._violated(one, {}))
        refused = caller_record(status=503, seal="", echoed="", body=b"")
        self.assertThat(await self._violated(refused), Contains("most_is_served"))

    async def test_each_violation_is_found(self) -> None:
        """Each violation is reported by the check of its guarantee."""
        key = {"headers": {"api-key": "k1"}}
        cases: dict[str, tuple[CallerRecord, tuple[dict[str, Any], ...]]] = {
            "once_at_most": (caller_record(), ({}, {})),
            "refused_means_not_run": (caller_record(status=503), ({},)),
            "answers_are_the_replicas": (caller_record(body=b"dong"), ({},)),
            "streams_are_in_order": (stream(EVENT_COUNT - 1), ({},)),
            "attempts_are_bounded": (caller_record(kind="read"), ({}, {}, {})),
            "nothing_runs_unasked": (caller_record(), (key,)),
            "deadlines_are_handed_on": (
                caller_record(),
                ({"headers": {"x-deadline-ms": "9000"}},),
            ),
            "answers_are_whole": (caller_record(is_whole=False, body=b"do"), ({},)),
            "all_is_answered": (caller_record(ended_s=103.0), ({},)),
        }
        for name, (one, runs) in cases.items():
            self.assertThat(await self._violated(one, *runs), Contains(name))

    async def test_a_crash_between_two_events_of_a_stream_without_framing(
        self,
    ) -> None:
        """Only then is a short stream no fault: nothing tells it from a whole one."""
        short = stream(EVENT_COUNT - 1)
        within = short._replace(body=short.body + b"id: ")
        name = "streams_are_in_order"
        crashed: dict[str, Any] = {"replica_ended_s": 100.15}
        unframed = {"is_unframed": True}
        self.assertNotIn(name, await self._violated(short, unframed, **crashed))
        for one, run, options in (
            (within, unframed, crashed),
            (short, {}, crashed),
            (short, unframed, {}),
            (short, unframed, {"replica_ended_s": 99.0}),
            (short, unframed, {"replica_ended_s": 101.0}),
        ):
            found = await self._violated(one, run, **options)
            self.assertThat(found, Contains(name))

    async def test_time_limits_apply_only_without_disturbances(self) -> None:
        """Time limits are checked only if the store was undisturbed."""
        late = {"leaves_s": 90.0}
        name = "draining_replicas_get_nothing"
        self.assertThat(
            await self._violated(caller_record(), {}, **late), Contains(name)
        )
        self.assertEqual(
            [], await self._violated(caller_record(), {}, store_at_s=88, **late)
        )
        versions = [(50.0, 1), (60.0, 2)]
        old = caller_record(kind="own", path="/v1/a1")
        new = caller_record(kind="own", path="/v2/a1", status=404, seal="")
        for one, name in ((old, "nothing_goes_back"), (new, "new_routes_are_in_force")):
            found = await self._violated(one, {}, versions=versions)
            self.assertThat(found, Contains(name))
            calmed = await self._violated(one, {}, versions=versions, store_at_s=59)
            self.assertNotIn(name, calmed)

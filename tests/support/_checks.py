"""Checks of invariants over the answers to callers and the dispatched requests."""

import json
from collections.abc import Iterable
from typing import Any, Protocol


class ReceivedAnswer(Protocol):
    """The answer that a caller received."""

    @property
    def status(self) -> int:
        """Status of the answer."""

    @property
    def headers(self) -> dict[str, str]:
        """Headers of the answer."""

    @property
    def body(self) -> bytes:
        """Body of the answer."""

    @property
    def is_ended(self) -> bool:
        """Whether the answer ended cleanly."""


def reported_outcomes(answer: ReceivedAnswer) -> set[str]:
    """Return every outcome that an answer reports, in its head and its body."""
    outcomes = {answer.headers.get("x-hemlocktrestle-outcome", "")}
    for line in answer.body.splitlines():
        text = line.removeprefix(b"data: ")
        if text.startswith(b'{"error"'):
            error: dict[str, Any] = json.loads(text)["error"]
            outcomes.add(str(error["outcome"]))
    return outcomes


def false_not_run_reports(
    answers: Iterable[ReceivedAnswer], dispatched_ids: Iterable[str]
) -> list[str]:
    """Return the violations of the guarantee that "not-run" is true.

    Args:
        answers: all answers to callers.
        dispatched_ids: id of each request of which an upstream received a byte.

    Returns:
        A line for each violation: a dispatched request that is reported as not-run,
        or an answer whose head and body report different outcomes.
    """
    dispatched = set(dispatched_ids)
    violations = []
    for answer in answers:
        request_id = answer.headers.get("x-request-id", "")
        outcomes = reported_outcomes(answer)
        if "not-run" not in outcomes:
            continue
        if request_id in dispatched:
            violations.append(f"{request_id}: dispatched, reported as not-run")
        if not request_id or outcomes != {"not-run"}:
            violations.append(f"{request_id}: reported {sorted(outcomes)}")
    return violations


def duplicate_dispatches(dispatched_ids: Iterable[str]) -> list[str]:
    """Return the ids of requests that reached upstreams more than once."""
    seen: set[str] = set()
    duplicates = []
    for request_id in dispatched_ids:
        if request_id in seen:
            duplicates.append(request_id)
        seen.add(request_id)
    return duplicates

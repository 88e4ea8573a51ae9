"""Checks of what must always hold, on what callers were told and engines got."""

import json
from collections.abc import Iterable
from typing import Any, Protocol


class ReceivedAnswer(Protocol):
    """What a caller got."""

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
        """Whether the answer's end came."""


def reported_outcomes(answer: ReceivedAnswer) -> set[str]:
    """Return every outcome that an answer names, in its head and its body."""
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
    """Return what breaks the promise that "not-run" is true.

    Args:
        answers: all that callers got.
        dispatched_ids: id of each request of which an upstream got a byte.

    Returns:
        A line for each breach: a request that was dispatched and told not to have
        run, or an answer whose head and body differ.
    """
    dispatched = set(dispatched_ids)
    breaches = []
    for answer in answers:
        request_id = answer.headers.get("x-request-id", "")
        outcomes = reported_outcomes(answer)
        if "not-run" not in outcomes:
            continue
        if request_id in dispatched:
            breaches.append(f"{request_id}: dispatched, told not-run")
        if not request_id or outcomes != {"not-run"}:
            breaches.append(f"{request_id}: told {sorted(outcomes)}")
    return breaches


def duplicate_dispatches(dispatched_ids: Iterable[str]) -> list[str]:
    """Return the ids that reached upstreams more than once."""
    seen: set[str] = set()
    doubled = []
    for request_id in dispatched_ids:
        if request_id in seen:
            doubled.append(request_id)
        seen.add(request_id)
    return doubled

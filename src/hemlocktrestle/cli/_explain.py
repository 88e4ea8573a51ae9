"""Tracing one request through the logs of several VMs, and naming why it ended."""

import json
from collections.abc import Iterable
from pathlib import Path
from typing import Any, NamedTuple

from hemlocktrestle.errors import ErrorKind, RequestError

Line = dict[str, Any]


class Explanation(NamedTuple):
    """A request's log lines in order of time, and why it ended, in a sentence."""

    lines: tuple[Line, ...]
    cause: str


def read_lines(paths: Iterable[Path]) -> list[Line]:
    """Read the log lines of some files.

    Args:
        paths: files with one JSON object per line; other lines are skipped, and so
            is a prefix before the object.

    Raises:
        RequestError: of kind ``SETTINGS_INVALID`` if a file cannot be read.
    """
    lines = []
    for path in paths:
        try:
            text = path.read_text(encoding="utf-8", errors="replace")
        except OSError as error:
            raise RequestError(
                ErrorKind.SETTINGS_INVALID, f"{path}: {error.strerror}"
            ) from error
        for row in text.splitlines():
            start = row.find("{")
            if start < 0:
                continue
            try:
                line = json.loads(row[start:])
            except ValueError:
                # Output of another program that writes to the same file.
                continue
            if isinstance(line, dict) and "event" in line:
                lines.append(line)
    return lines


def explain(request_id: str, lines: Iterable[Line]) -> Explanation:
    """Sort one request's log lines by time, and name why it ended.

    The result includes what other VMs logged of the request's permit requests:
    such lines have the id of the permit request, not that of the request itself.

    Args:
        request_id: the request's id.
        lines: log lines of all VMs.

    Raises:
        RequestError: of kind ``SETTINGS_INVALID`` if no line names the request.
    """
    known = list(lines)
    own = [line for line in known if line.get("request") == request_id]
    if not own:
        raise RequestError(
            ErrorKind.SETTINGS_INVALID, f"no line names the request {request_id}"
        )
    asks = {strip_attempt(line["ask"]) for line in own if line.get("ask")}
    related = [
        line
        for line in known
        if line.get("event") in {"ask_refused", "quota_spent"}
        and strip_attempt(str(line.get("ask") or line.get("request", ""))) in asks
        and line not in own
    ]
    ordered = sorted([*own, *related], key=lambda line: str(line.get("timestamp", "")))
    return Explanation(tuple(ordered), _describe_cause(ordered))


def strip_attempt(ask_id: str) -> str:
    """Return the id of a permit request without its attempt number."""
    return ask_id.partition(".")[0]


def _last_event(lines: Iterable[Line], event: str) -> Line:
    found: Line = {}
    for line in lines:
        if line.get("event") == event:
            found = line
    return found


def _describe_cause(lines: list[Line]) -> str:
    end = _last_event(lines, "request_ended")
    if not end:
        return "The logs end before the request does: its VM stopped or lost lines."
    outcome = str(end.get("outcome", ""))
    describe = _CAUSES.get(outcome)
    if describe is None:
        return f"It was refused before it was sent: {outcome}."
    return describe(lines, end)


def _describe_answered(lines: list[Line], end: Line) -> str:
    return (
        f"It was answered with {end.get('status')} after "
        f"{end.get('waited_ms')} ms of waiting, the first part at "
        f"{end.get('first_ms')} ms, by {', '.join(end.get('replicas', []))}."
    )


def _describe_queue_timeout(lines: list[Line], end: Line) -> str:
    refusal = _last_event(lines, "ask_refused")
    in_flight = refusal.get("in_hand")
    return (
        f"No place became free in the time that it may wait ({end.get('total_ms')} "
        f"ms); places taken at {refusal.get('vm', 'the keeper')}: {in_flight}."
    )


def _describe_shed(lines: list[Line], end: Line) -> str:
    refusal = _last_event(lines, "ask_refused")
    return (
        f"More requests waited at {refusal.get('vm', 'the keeper')} than its slots can "
        f"answer ({refusal.get('in_hand')}); it was told to come back after "
        f"{refusal.get('retry_after_ms')} ms."
    )


def _describe_unmeetable(lines: list[Line], end: Line) -> str:
    refusal = _last_event(lines, "ask_refused")
    return (
        f"Its answer would have come too late: a wait of {refusal.get('wait_ms')} ms "
        f"and {refusal.get('work_ms')} ms of work were expected, its caller had "
        f"{refusal.get('left_ms')} ms left."
    )


def _describe_over_quota(lines: list[Line], end: Line) -> str:
    spent = _last_event(lines, "quota_spent")
    return (
        f"Customer {spent.get('customer')} is over its quota of "
        f"{spent.get('limit')} a window; spent here {spent.get('spent_here')}, "
        f"elsewhere {spent.get('spent_elsewhere')}."
    )


def _describe_failed_attempt(lines: list[Line], end: Line) -> str:
    attempt = _last_event(lines, "attempt_ended")
    not_retried = _last_event(lines, "request_not_repeated")
    return (
        f"Replica {attempt.get('replica')} {attempt.get('end')} after "
        f"{attempt.get('events')} events and {attempt.get('total_ms')} ms "
        f"({attempt.get('failure')}); it was not repeated: "
        f"{not_retried.get('reason', 'unknown')}."
    )


def _describe_deadline(lines: list[Line], end: Line) -> str:
    permit = _last_event(lines, "request_permitted")
    # A permit may be unused: a search for another replica that was not needed.
    replica, *_ = end.get("replicas", [])[-1:] or [permit.get("replica")]
    return (
        f"Its time ended at {end.get('total_ms')} ms while replica "
        f"{replica} was at work; {end.get('events')} events had come."
    )


def _describe_caller_gone(lines: list[Line], end: Line) -> str:
    return (
        f"Its caller left after {end.get('total_ms')} ms, with {end.get('events')} "
        f"events sent."
    )


def _describe_quarantined(lines: list[Line], end: Line) -> str:
    refusal = _last_event(lines, "part_refused")
    if not refusal:
        return "Requests like it crashed replicas; see request_suspected."
    return (
        f"Part {refusal.get('part')} of its prompt is quarantined for these crashes, "
        f"by replica and request: {refusal.get('crashes')}."
    )


_CAUSES = {
    "answered": _describe_answered,
    "deadline_in_queue": _describe_queue_timeout,
    "deadline_unmeetable": _describe_unmeetable,
    "shed": _describe_shed,
    "rate_limited": _describe_over_quota,
    "upstream_broken": _describe_failed_attempt,
    "upstream_silent": _describe_failed_attempt,
    "upstream_unreachable": _describe_failed_attempt,
    "no_upstream": _describe_failed_attempt,
    "deadline_running": _describe_deadline,
    "caller_gone": _describe_caller_gone,
    "quarantined": _describe_quarantined,
}
"""Functions that describe the cause, by the outcome in the last ``request_ended``."""

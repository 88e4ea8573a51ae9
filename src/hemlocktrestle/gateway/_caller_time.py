"""How much time the caller of a request has."""

from hemlocktrestle.gateway._configuration import Route

DEADLINE_DEFAULT_MS = 60_000.0
"""Deadline of a request that states none, in milliseconds after its arrival."""


def answer_due_ms(route: Route, *, stated_ms: float | None, arrived_ms: float) -> float:
    """Return when a caller must have the whole answer.

    Args:
        route: the request's route, whose timeout bounds the wait.
        stated_ms: how long the caller says that it waits, or ``None``.
        arrived_ms: when the request arrived.
    """
    waits_ms = stated_ms or DEADLINE_DEFAULT_MS
    return arrived_ms + min(waits_ms, route.timeout_ms)


def part_due_ms(route: Route, *, since_ms: float, answer_due_ms: float) -> float:
    """Return when a caller must have the next part of the answer.

    Callers leave a stream that sends nothing for too long, also before its first
    event, and wait for any other answer until it is due.

    Args:
        route: the request's route.
        since_ms: when the request arrived, or the last part of its answer was sent.
        answer_due_ms: when the caller must have the whole answer.
    """
    return min(answer_due_ms, since_ms + route.patience_ms)

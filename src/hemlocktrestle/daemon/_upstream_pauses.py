"""Pauses that upstreams ask this VM for when they refuse a request."""

import logging
import math
from collections.abc import Callable

from hemlocktrestle.errors import ErrorKind, RequestError
from hemlocktrestle.gateway import (
    BORN_UNKNOWN,
    Headers,
    Incarnation,
    ReplicaPauses,
    bounded_pause_ms,
)
from hemlocktrestle.membership import Membership
from hemlocktrestle.wire import Permit

log = logging.getLogger(__name__)


class UpstreamPauses:
    """Upstreams that get nothing from this VM until a time that they stated.

    A probe may find the upstream healthy before, and another VM may go on using it.

    Args:
        membership: the upstreams.
        now_ms: returns the time of the process in milliseconds.
    """

    def __init__(self, membership: Membership, now_ms: Callable[[], float]) -> None:
        self._membership = membership
        self._now_ms = now_ms
        self._pauses = ReplicaPauses()

    def on_refusal(self, permit: Permit, headers: Headers) -> None:
        """Record the pause that a refusal with status 503 states, if any."""
        stated = dict(headers).get(b"retry-after")
        if stated is None:
            return
        stated_ms = _milliseconds(stated)
        pause_ms = bounded_pause_ms(stated_ms)
        log.info(
            "upstream_pause_learned",
            extra={
                "upstream": permit.upstream,
                "ask": permit.ask_id,
                "stated_ms": str(stated_ms),
                "pause_ms": round(pause_ms),
            },
        )
        if pause_ms:
            incarnation = _incarnation(permit.upstream, permit.address)
            self._pauses.record(incarnation, pause_ms, self._now_ms())

    def paused_names(self, pool: str) -> tuple[str, ...]:
        """Return the upstreams of a pool that pause now."""
        if not self._pauses:
            return ()
        return tuple(
            record.name
            for record in self._membership.all_upstreams()
            if pool in record.pools and self._is_paused(record.name, record.address)
        )

    def check(self, permit: Permit) -> None:
        """Raise if the upstream of a permit pauses; nothing may be sent to it.

        Raises:
            RequestError: of kind ``PERMIT_STALE``, after which another is asked for.
        """
        if self._is_paused(permit.upstream, permit.address):
            log.info(
                "permit_held_back",
                extra={"upstream": permit.upstream, "ask": permit.ask_id},
            )
            raise RequestError(
                ErrorKind.PERMIT_STALE, "upstream asked for a pause meanwhile"
            )

    def _is_paused(self, upstream: str, address: str) -> bool:
        now_ms = self._now_ms()
        pause = self._pauses.find(_incarnation(upstream, address), now_ms)
        return pause is not None and pause.is_paused(now_ms)


def _incarnation(upstream: str, address: str) -> Incarnation:
    """Return the key of an upstream, whose start the platform does not list."""
    return Incarnation(f"{upstream} {address}", BORN_UNKNOWN)


def _milliseconds(seconds: bytes) -> float:
    try:
        return float(seconds) * 1000
    except ValueError:
        return math.nan

"""Asks upstreams that refused work whether they take it again."""

import logging
from collections.abc import Callable

import trio

from hemlocktrestle.errors import RequestError
from hemlocktrestle.membership import Membership, ProbeResult, UpstreamRecord
from hemlocktrestle.ports import UpstreamCall, UpstreamClient

log = logging.getLogger(__name__)

CHECK_S = 0.25
"""Time between looks for upstreams to probe, in seconds."""

PROBE_MS = 2_000
"""Longest time that a probe may take, in milliseconds."""

HEALTH_TARGET = "/health"
"""Route by which engines and services tell whether they take work."""

_UNTOLD_STATUSES = frozenset({404, 405, 501})


class UpstreamProber:
    """Probes refusing upstreams without giving them any work.

    Args:
        membership: tells which upstreams to probe, and takes what they told.
        upstreams: dials upstreams.
        now_ms: returns the time of the process in milliseconds.
    """

    def __init__(
        self,
        membership: Membership,
        upstreams: UpstreamClient,
        *,
        now_ms: Callable[[], float],
    ) -> None:
        self._membership = membership
        self._upstreams = upstreams
        self._now_ms = now_ms

    async def run(self) -> None:
        """Probe until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                for record in self._membership.probes_due(self._now_ms()):
                    nursery.start_soon(self._probe, record)
                await trio.sleep(CHECK_S)

    async def _probe(self, record: UpstreamRecord) -> None:
        told = ProbeResult.REFUSING
        try:
            with trio.move_on_after(PROBE_MS / 1000):
                told = await self._ask(record)
        except RequestError as error:
            log.info(
                "probe_failed",
                extra={"upstream": record.name, "error_kind": error.kind.value},
            )
        self._membership.record_probe(record, told, self._now_ms())
        log.info("upstream_probed", extra={"upstream": record.name, "told": told.value})

    async def _ask(self, record: UpstreamRecord) -> ProbeResult:
        call = UpstreamCall(
            address=record.address,
            method="GET",
            target=HEALTH_TARGET,
            headers=((b"host", record.address.encode()),),
            body=b"",
            is_fresh_connection=True,
            inactivity_timeout_ms=PROBE_MS,
        )
        async with self._upstreams.call(call) as answer:
            if 200 <= answer.status < 300:
                return ProbeResult.HEALTHY
            is_untold = answer.status in _UNTOLD_STATUSES
            return ProbeResult.UNREPORTED if is_untold else ProbeResult.REFUSING

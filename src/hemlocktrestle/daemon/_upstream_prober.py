"""Probes upstreams that refused requests until they accept them again."""

import logging
from collections.abc import Callable

import trio

from hemlocktrestle.errors import RequestError
from hemlocktrestle.membership import Membership, ProbeResult, UpstreamRecord
from hemlocktrestle.ports import UpstreamCall, UpstreamClient

log = logging.getLogger(__name__)

CHECK_INTERVAL_S = 0.25
"""Interval of checks for upstreams to probe, in seconds."""

PROBE_TIMEOUT_MS = 2_000
"""Longest time that a probe may take, in milliseconds."""

HEALTH_TARGET = "/health"
"""Health route of engines and services; its status says whether they accept work."""

_UNREPORTED_STATUSES = frozenset({404, 405, 501})
"""Statuses of an upstream that has no health route, so its health is unreported."""


class UpstreamProber:
    """Probes refusing upstreams on their health route, without sending requests.

    Args:
        membership: returns the upstreams to probe, and records the results.
        upstreams: connects to upstreams.
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
                await trio.sleep(CHECK_INTERVAL_S)

    async def _probe(self, record: UpstreamRecord) -> None:
        result = ProbeResult.REFUSING
        try:
            with trio.move_on_after(PROBE_TIMEOUT_MS / 1000):
                result = await self._request_health(record)
        except RequestError as error:
            log.info(
                "probe_failed",
                extra={"upstream": record.name, "error_kind": error.kind.value},
            )
        self._membership.record_probe(record, result, self._now_ms())
        log.info(
            "upstream_probed", extra={"upstream": record.name, "told": result.value}
        )

    async def _request_health(self, record: UpstreamRecord) -> ProbeResult:
        call = UpstreamCall(
            address=record.address,
            method="GET",
            target=HEALTH_TARGET,
            headers=((b"host", record.address.encode()),),
            body=b"",
            is_fresh_connection=True,
            inactivity_timeout_ms=PROBE_TIMEOUT_MS,
        )
        async with self._upstreams.call(call) as answer:
            if 200 <= answer.status < 300:
                return ProbeResult.HEALTHY
            is_unreported = answer.status in _UNREPORTED_STATUSES
            return ProbeResult.UNREPORTED if is_unreported else ProbeResult.REFUSING

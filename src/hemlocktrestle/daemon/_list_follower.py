"""Polls the platform's list, and keeps entries if too many vanish from it at once."""

import logging
from collections.abc import Callable

import trio

from hemlocktrestle.errors import RequestError
from hemlocktrestle.membership import ListingGuard, Membership, VmRecord
from hemlocktrestle.ports import PlatformList

log = logging.getLogger(__name__)

READ_INTERVAL_S = 1.0
"""Interval of reads of the platform's list, in seconds."""


class ListFollower:
    """Polls the list; during an outage the last good answer stays in force.

    Args:
        platform: the platform's list.
        membership: updated with the entries that the guard accepts.
        peers_changed: called with the other VMs after each answer.
        now_ms: returns the time of the process in milliseconds.
    """

    def __init__(
        self,
        platform: PlatformList,
        membership: Membership,
        *,
        peers_changed: Callable[[tuple[VmRecord, ...]], None],
        now_ms: Callable[[], float],
    ) -> None:
        self._platform = platform
        self._membership = membership
        self._peers_changed = peers_changed
        self._now_ms = now_ms
        self._guard = ListingGuard()
        self.has_listing = False

    @property
    def doubted(self) -> tuple[str, ...]:
        """Names of entries that are kept although the list no longer has them."""
        return self._guard.doubted

    async def run(self) -> None:
        """Poll the list until cancelled, also through outages."""
        while True:
            try:
                await self._read()
            except RequestError as error:
                log.warning("list_unreadable", extra={"reason": error.message})
            await trio.sleep(READ_INTERVAL_S)

    async def _read(self) -> None:
        before = self._guard.doubted
        listing = self._guard.reconcile(await self._platform.read(), self._now_ms())
        if self._guard.doubted != before:
            log.warning("list_doubted", extra={"names": self._guard.doubted})
        self._membership.apply_listing(listing)
        self.has_listing = True
        self._peers_changed(self._membership.peers())

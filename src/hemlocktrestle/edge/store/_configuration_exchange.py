"""Distribution of the operator's configuration among the VMs of a region.

Two VMs of each region, its relays, watch the configuration in the store.  The others
fetch each new one from them, so that a large document crosses the link between
regions twice and not once for each VM.
"""

import logging
import math
from collections.abc import Callable
from typing import NamedTuple

from hemlocktrestle.edge._state import EdgeState, now_ms
from hemlocktrestle.edge.store._store_task import OWN_READ_MS
from hemlocktrestle.edge.store._watchers import apply_configuration
from hemlocktrestle.gateway import NO_REVISION, StoreRevision
from hemlocktrestle.peers import PeerNetwork
from hemlocktrestle.wire import ConfigurationNews, Heartbeat, Message, TreeFetch

log = logging.getLogger(__name__)

BEHIND_MS_MAX = 1_000.0
"""Time behind a relay after which a VM reads the store itself, in milliseconds."""

BACKUP_LAG_MS = 500.0
"""Time behind before the first relay is asked, in milliseconds.

The first relay is also the scheduler of its region, whose links are better kept for
permits.  The second one is asked at once.
"""

REMOTE_LAG_MS = 1_500.0
"""Time behind before a VM of another region is asked, in milliseconds."""

FETCH_TIMEOUT_MS = 2_000.0
"""Time after which a configuration that did not come is fetched again, in ms."""


class _Report(NamedTuple):
    """What a VM last reported: its revision, and when the store confirmed it.

    ``store_era`` is the era of the store that it knows.
    """

    revision: StoreRevision
    confirmed_ms: float
    store_era: int


class ConfigurationExchange:
    """Fetches newer configurations from other VMs, and sends them on request.

    Args:
        state: shared state of the process.
        vm: name of this VM.
        region_of: returns the region of a VM, ``None`` if it is not known.
    """

    def __init__(
        self, state: EdgeState, vm: str, *, region_of: Callable[[str], str | None]
    ) -> None:
        self._state = state
        self._vm = vm
        self._region_of = region_of
        self._relays: tuple[str, ...] = ()
        self._reports: dict[str, _Report] = {}
        self._behind_at_revision: StoreRevision | None = None
        self._behind_since_ms = 0.0
        self._fetched_ms = -math.inf
        self._received_revision = NO_REVISION
        self.network: PeerNetwork | None = None
        self.bytes_sent = 0

    def set_relays(self, vms: tuple[str, ...]) -> None:
        """Set the relays of this VM's region, the first also its scheduler."""
        self._relays = vms
        self._reports = {
            vm: report for vm, report in self._reports.items() if vm in vms
        }

    @property
    def relays(self) -> tuple[str, ...]:
        """The relays of this VM's region."""
        return self._relays

    @property
    def is_relay(self) -> bool:
        """Whether other VMs rely on this one to watch the configuration."""
        return self._vm in self._relays

    @property
    def is_relayed(self) -> bool:
        """Whether a relay brings each new configuration, so that no watch is needed."""
        if self.is_relay or self._state.configuration is None:
            return False
        now = now_ms()
        if self._is_behind() and now - self._behind_since_ms > BEHIND_MS_MAX:
            return False
        return any(
            now - report.confirmed_ms <= self._confirmation_ms_max
            and report.store_era >= self._state.store_era
            for report in self._reports.values()
        )

    @property
    def _confirmation_ms_max(self) -> float:
        """Age from which a relay's last contact with the store does not count.

        If all relays are cut off, this VM still reads a new configuration in time.
        """
        return self._state.settings.bounds.configuration_known_ms - OWN_READ_MS

    def on_heartbeat(self, vm: str, heartbeat: Heartbeat) -> None:
        """Fetch the configuration of a VM that has had a newer one for some time."""
        now = now_ms()
        revision = StoreRevision(heartbeat.tree_era, heartbeat.tree_revision)
        if vm in self._relays:
            self._reports[vm] = _Report(
                revision, now - heartbeat.tree_age_ms, heartbeat.store_era
            )
        own_revision = self._state.configuration_revision
        if self.network is None or revision <= max(
            own_revision, self._received_revision
        ):
            return
        if self._behind_at_revision != own_revision:
            self._behind_at_revision, self._behind_since_ms = own_revision, now
        if now - self._behind_since_ms < self._lag_ms(vm):
            return
        if now - self._fetched_ms < FETCH_TIMEOUT_MS:
            return
        fetch = TreeFetch(
            max(0, own_revision.number), "", after_era=max(0, own_revision.era)
        )
        if self.network.send(vm, fetch) or self.network.reply(vm, fetch):
            self._fetched_ms = now
            log.info(
                "configuration_fetched",
                extra={
                    "peer": vm,
                    **own_revision.log_fields(),
                    "peer_era": revision.era,
                    "peer_revision": revision.number,
                    "behind_ms": round(now - self._behind_since_ms),
                },
            )

    def on_fetch(self, vm: str, message: Message) -> None:
        """Send the configuration to a VM that asks for one newer than its own."""
        state = self._state
        if not isinstance(message, TreeFetch) or self.network is None:
            return
        revision = state.configuration_revision
        if StoreRevision(message.after_era, message.after_revision) >= revision:
            return
        news = ConfigurationNews(
            revision.number, state.configuration_document, revision.era
        )
        if self.network.reply(vm, news) or self.network.send(vm, news):
            self.bytes_sent += len(state.configuration_document)

    def on_news(self, vm: str, message: Message) -> None:
        """Apply a configuration that was fetched."""
        if not isinstance(message, ConfigurationNews):
            return
        # One that is refused must not be fetched again.
        revision = StoreRevision(message.era, message.revision)
        self._received_revision = max(self._received_revision, revision)
        self._fetched_ms = -math.inf
        apply_configuration(self._state, message.document, revision, source=vm)

    def _is_behind(self) -> bool:
        known = max(self._state.configuration_revision, self._received_revision)
        return any(report.revision > known for report in self._reports.values())

    def _lag_ms(self, vm: str) -> float:
        if self._state.configuration is None or vm in self._relays[1:]:
            return 0.0
        if self._region_of(vm) == self._region_of(self._vm):
            return BACKUP_LAG_MS
        return REMOTE_LAG_MS

"""The registered VMs, and whether a relay of the region knows the same ones."""

import math
from typing import NamedTuple

import xxhash

from hemlocktrestle.edge._state import now_ms
from hemlocktrestle.edge.store._registration import VM_LEASE_MS, VmEntry
from hemlocktrestle.wire import Heartbeat

CONFIRMATION_MS_MAX = 1_800.0
"""Age from which a relay's last contact with the store does not count, in ms.

Relays state it twice a second, so a few reports may be lost.
"""

CONFIRMED_VMS_MIN = 32
"""Number of VMs from which a list that a relay confirms is not read again.

Reading a shorter list costs little, and changes are known sooner.
"""


class _Report(NamedTuple):
    """The digest of a VM's list, and when the store last answered that VM."""

    digest: int
    confirmed_ms: float


class VmList:
    """The VMs that are registered in the store.

    Args:
        entry: this VM, which is always among them.
    """

    def __init__(self, entry: VmEntry) -> None:
        self._own_entry = entry
        self._reports: dict[str, _Report] = {}
        self.entries: dict[str, VmEntry] = {}
        self.digest = 0
        self._returned_by_ms = -math.inf
        self.replace([])

    @property
    def is_returning(self) -> bool:
        """Whether entries may be missing that a restored store has lost."""
        return now_ms() < self._returned_by_ms

    def begin_era(self) -> None:
        """Keep entries that a restored store lacks, for as long as their leases."""
        self._returned_by_ms = now_ms() + VM_LEASE_MS

    def replace(self, entries: list[VmEntry]) -> bool:
        """Replace the entries, and return whether any differs."""
        before = self.entries
        kept = before if self.is_returning else {}
        self.entries = {**kept, **{entry.vm: entry for entry in entries}}
        self.entries[self._own_entry.vm] = self._own_entry
        if self.entries == before:
            return False
        self.digest = xxhash.xxh3_64_intdigest(
            repr(sorted(self.entries.values())).encode()
        )
        return True

    def on_heartbeat(self, vm: str, heartbeat: Heartbeat) -> None:
        """Record which list another VM has."""
        self._reports[vm] = _Report(
            heartbeat.vms_digest, now_ms() - heartbeat.tree_age_ms
        )

    def is_confirmed(self, relays: tuple[str, ...]) -> bool:
        """Tell whether the list need not be read: a relay has read the same one.

        Args:
            relays: the VMs of the region that read the list at all times.
        """
        if len(self.entries) < CONFIRMED_VMS_MIN or self._own_entry.vm in relays:
            return False
        now = now_ms()
        reports = (self._reports.get(vm) for vm in relays)
        return any(
            report is not None
            and report.digest == self.digest
            and now - report.confirmed_ms <= CONFIRMATION_MS_MAX
            for report in reports
        )

"""What the system itself keeps in the platform's store: its VMs, and busy customers."""

import json
import logging
from collections.abc import Callable
from typing import NamedTuple

import trio

from hemlocktrestle.edge._state import now_ms
from hemlocktrestle.edge._store_task import StoreHealth, StoreTask
from hemlocktrestle.platform import PlatformStore, StoreError

log = logging.getLogger(__name__)

OWN_PREFIX = "hemlocktrestle/"
"""Start of all keys that the system writes."""

VM_PREFIX = OWN_PREFIX + "vms/"
"""Start of the keys under which the VMs of the system register."""

BUSY_PREFIX = OWN_PREFIX + "busy/"
"""Start of the keys under which keepers note customers that use their quotas up."""

BUSY_CHECK_S = 1.0
"""Time between looks for busy customers, in seconds.

A note is written only while there are any, and lapses by itself.
"""

VM_LEASE_MS = 10_000
"""Life of a VM's entry without renewal, in milliseconds."""

VM_RENEW_S = 3.0
"""Time between renewals of a VM's entry, in seconds: three tries fit its life."""


class VmEntry(NamedTuple):
    """One VM as it registered itself."""

    vm: str
    zone: str
    region: str
    address: str
    boot_id: str


class VmRegistrar(StoreTask):
    """Registers this VM in the store and reads who else is there.

    Args:
        entry: this VM.
        store: the platform's store.
        health: told whether the store answers.
        on_vms: called with all VMs that are registered.
        on_busy: called with the customers that are noted as busy.
    """

    name = "vms"

    def __init__(
        self,
        entry: VmEntry,
        store: PlatformStore,
        health: StoreHealth,
        *,
        on_vms: Callable[[list[VmEntry]], None],
        on_busy: Callable[[set[str]], None],
    ) -> None:
        super().__init__(store, health)
        self._entry = entry
        self._on_vms = on_vms
        self._on_busy = on_busy
        self._lease = 0

    async def leave(self) -> None:
        """Remove this VM's entry for good."""
        self.is_over = True
        try:
            await self._store.end_lease(self._lease)
        except StoreError as error:
            # The entry goes by itself when its lease runs out.
            log.info("vm_entry_left", extra={"reason": str(error)})

    async def _follow(self) -> None:
        self._lease = await self._store.grant_lease(VM_LEASE_MS)
        value = json.dumps(self._entry._asdict()).encode()
        await self._store.put(VM_PREFIX + self._entry.vm, value, lease=self._lease)
        # The first look must show this VM, so that none counts itself alone.
        await self._look(is_stale_fine=False)
        while True:
            await trio.sleep(self._jitter.uniform(0.8, 1.2) * VM_RENEW_S)
            if self.is_over:
                return
            await self._store.renew_lease(self._lease)
            await self._look(is_stale_fine=True)

    async def _look(self, *, is_stale_fine: bool) -> None:
        page = await self._store.list(OWN_PREFIX, is_stale_fine=is_stale_fine)
        self._health.answered(self.name)
        entries = []
        busy: set[str] = set()
        for item in page.items:
            try:
                if item.key.startswith(VM_PREFIX):
                    entries.append(VmEntry(**json.loads(item.value)))
                elif item.key.startswith(BUSY_PREFIX):
                    busy.update(json.loads(item.value))
            except (ValueError, TypeError) as error:
                log.warning(
                    "own_entry_refused", extra={"key": item.key, "reason": str(error)}
                )
        self._on_busy(busy)
        self._on_vms(entries)


class BusyRecorder(StoreTask):
    """Notes in the store which customers use their quotas up.

    Processes that start later take it into account; without a note they assume
    less.

    Args:
        region: the region whose customers are noted.
        store: the platform's store.
        health: told whether the store answers.
        busy: returns the customers to note; none if another VM does it.
        window_ms: how long a note counts, in milliseconds.
    """

    name = "busy"

    def __init__(
        self,
        region: str,
        store: PlatformStore,
        health: StoreHealth,
        *,
        busy: Callable[[], set[str]],
        window_ms: float,
    ) -> None:
        super().__init__(store, health)
        self._key = BUSY_PREFIX + region
        self._busy = busy
        self._window_ms = window_ms

    async def _follow(self) -> None:
        lease = 0
        granted_ms = 0.0
        while True:
            await trio.sleep(BUSY_CHECK_S)
            customers = self._busy()
            if not customers:
                continue
            # A lease outlives the note by a window, so that each note counts long
            # enough.
            if now_ms() - granted_ms > self._window_ms:
                lease = await self._store.grant_lease(int(2 * self._window_ms))
                granted_ms = now_ms()
            value = json.dumps(sorted(customers)).encode()
            await self._store.put(self._key, value, lease=lease)
            self._health.answered(self.name)

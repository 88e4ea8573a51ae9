"""The system's own entries in the platform's store: its VMs and busy customers."""

import json
import logging
from collections.abc import Callable
from typing import Any, NamedTuple

import trio
from pydantic import TypeAdapter

from hemlocktrestle.documents import (
    Amount,
    HostAddress,
    Name,
    Text,
    check,
    decode_json,
)
from hemlocktrestle.edge._state import now_ms
from hemlocktrestle.edge.store._store_task import StoreHealth, StoreTask
from hemlocktrestle.errors import ErrorKind, RequestError
from hemlocktrestle.gateway import StoreRevision
from hemlocktrestle.platform import (
    Lease,
    PlatformStore,
    StoreError,
    StoreErrorKind,
)

log = logging.getLogger(__name__)

OWN_PREFIX = "hemlocktrestle/"
"""Prefix of all keys that the system writes."""

VM_PREFIX = OWN_PREFIX + "vms/"
"""Prefix of the keys under which the VMs of the system register."""

BUSY_PREFIX = OWN_PREFIX + "busy/"
"""Prefix of the keys under which schedulers record customers near their quotas."""

BUSY_CHECK_S = 1.0
"""Time between checks for busy customers, in seconds.

The entry is written only while there are any, and expires with its lease.
"""

VM_LEASE_MS = 10_000
"""Lease time of a VM's entry, in milliseconds."""

VM_RENEW_S = 3.0
"""Mean time between lease renewals, in seconds: three attempts fit the lease."""


class VmEntry(NamedTuple):
    """A VM's entry in the store.

    ``cpu_cores`` and ``link_mbps`` are the size of the VM, 0 if it is not known.
    """

    vm: Name
    zone: Name
    region: Name
    address: HostAddress
    boot_id: Name
    cpu_cores: Amount = 0.0
    link_mbps: Amount = 0.0


_OBJECT_ADAPTER: TypeAdapter[dict[str, Any]] = TypeAdapter(dict[str, Any])
_VM_ADAPTER: TypeAdapter[VmEntry] = TypeAdapter(VmEntry)
_BUSY_ADAPTER: TypeAdapter[list[str]] = TypeAdapter(list[Text])


def decode_vm_entry(key: str, value: bytes) -> VmEntry:
    """Decode a VM's entry; fields of later versions are ignored.

    Args:
        key: its key, which ends with the name of the VM.
        value: the entry.

    Raises:
        RequestError: of kind ``SETTINGS_INVALID``; the message names the field.
    """
    fields = decode_json(_OBJECT_ADAPTER, value, source=key)
    known = {name: fields[name] for name in VmEntry._fields if name in fields}
    entry = check(_VM_ADAPTER, known, source=key)
    if key != VM_PREFIX + entry.vm:
        raise RequestError(
            ErrorKind.SETTINGS_INVALID, f"{key}: vm: not the VM of the key"
        )
    return entry


class VmRegistrar(StoreTask):
    """Registers this VM in the store and reads the entries of the other VMs.

    A lease of an earlier era is neither renewed nor ended: its id may have been given
    to another holder since.  Its entry is written again with a new lease.

    Args:
        entry: this VM.
        store: the platform's store.
        health: records whether the store answers.
        on_vms: called with all VMs that are registered.
        on_busy: called with the customers that are recorded as busy.
        is_current: tells whether the entries need not be read again.
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
        is_current: Callable[[], bool],
    ) -> None:
        super().__init__(store, health)
        self._entry = entry
        self._on_vms = on_vms
        self._on_busy = on_busy
        self._is_current = is_current
        self._revision: StoreRevision | None = None
        self._restored = trio.Event()
        health.on_restored(self._on_restored)

    async def deregister(self) -> None:
        """Remove this VM's entry and stop renewing it."""
        self.is_finished = True
        if self._revision is None:
            # The store has acknowledged none yet.
            return
        try:
            await self._store.delete(self._key, revision=self._revision)
        except StoreError as error:
            # The entry expires with its lease.
            log.info("vm_entry_left", extra={"reason": str(error)})

    @property
    def _key(self) -> str:
        return VM_PREFIX + self._entry.vm

    def _on_restored(self) -> None:
        self._restored.set()

    async def _run_until_error(self) -> None:
        lease = await self._store.grant_lease(VM_LEASE_MS)
        self._record_answer(lease.era)
        # A restore that the grant itself has told of is no reason for another lease.
        self._restored = trio.Event()
        value = json.dumps(self._entry._asdict()).encode()
        revision = await self._store.put(self._key, value, lease=lease.lease_id)
        self._record_answer(revision.era)
        self._revision = revision
        # The first read must not be stale: it has to include this VM and those
        # before it, so that no VM takes itself for the only one.
        await self._read_entries(allow_stale=False)
        while True:
            with trio.move_on_after(self._jitter.uniform(0.8, 1.2) * VM_RENEW_S):
                await self._restored.wait()
            if self.is_finished:
                return
            if self._health.era != self._era:
                raise StoreError(
                    StoreErrorKind.RESTORED, f"lease of era {self._era} is gone"
                )
            self._record_answer(await self._store.renew_lease(lease.lease_id))
            if not self._is_current():
                await self._read_entries(allow_stale=True)

    async def _read_entries(self, *, allow_stale: bool) -> None:
        page = await self._store.list(OWN_PREFIX, allow_stale=allow_stale)
        if allow_stale and page.revision.era < self._health.era:
            return
        self._record_answer(page.revision.era)
        entries = []
        busy: set[str] = set()
        for item in page.items:
            try:
                if item.key.startswith(VM_PREFIX):
                    entries.append(decode_vm_entry(item.key, item.value))
                elif item.key.startswith(BUSY_PREFIX):
                    names = decode_json(_BUSY_ADAPTER, item.value, source=item.key)
                    busy.update(names)
            except RequestError as error:
                log.warning(
                    "own_entry_refused",
                    extra={"key": item.key, "reason": error.message},
                )
        self._on_busy(busy)
        self._on_vms(entries)


class BusyRecorder(StoreTask):
    """Records in the store which customers have spent much of their quotas.

    A process that starts within the quota window does not know what was spent
    before.  For customers listed here it assumes more than for others.

    Args:
        region: the region whose customers are recorded.
        store: the platform's store.
        health: records whether the store answers.
        busy: returns the customers to record; none if another VM does it.
        window_ms: length of the quota window, for which an entry must last, in
            milliseconds.
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

    async def _run_until_error(self) -> None:
        lease: Lease | None = None
        granted_ms = 0.0
        while True:
            await trio.sleep(BUSY_CHECK_S)
            customers = self._busy()
            if not customers:
                continue
            # A lease lasts two windows and is used for one, so that each write
            # remains for at least a window.
            if (
                lease is None
                or lease.era != self._health.era
                or now_ms() - granted_ms > self._window_ms
            ):
                lease = await self._store.grant_lease(int(2 * self._window_ms))
                self._record_answer(lease.era)
                granted_ms = now_ms()
            value = json.dumps(sorted(customers)).encode()
            revision = await self._store.put(self._key, value, lease=lease.lease_id)
            self._record_answer(revision.era)

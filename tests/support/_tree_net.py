"""VMs that replicate the settings tree in one process, over links that can be cut."""

import itertools
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from typing import Any

import trio

from hemlocktrestle.daemon._tree_service import TreeService
from hemlocktrestle.errors import ErrorKind, RequestError
from hemlocktrestle.membership import Listing, Membership, VmRecord
from hemlocktrestle.ports import Compare, Put, Snapshot, TxnResult, WatchBatch
from hemlocktrestle.treestore import AcceptedChange, Proposal, TreeWriter, read_tree
from hemlocktrestle.wire import Heartbeat, Message, decode, encode
from tests.support._store import FakeStore

LINK_DELAY_S = 0.001
HEARTBEAT_INTERVAL_S = 0.5
LIMIT_S = 30.0


class VmStore:
    """The store as seen by one VM, whose connection to it can be cut."""

    def __init__(self, store: FakeStore) -> None:
        self._store = store
        self.is_cut = False
        self.watch_count = 0
        self.grant_lease = store.grant_lease
        self.renew_lease = store.renew_lease

    async def read(self, prefix: str, *, is_prefix: bool = False) -> Snapshot:
        """Read one key, or all keys with a prefix."""
        await self._check_connection()
        return await self._store.read(prefix, is_prefix=is_prefix)

    async def read_page(
        self, prefix: str, *, after: str = "", limit_count: int
    ) -> Snapshot:
        """Read the first keys with a prefix that come after a key."""
        await self._check_connection()
        return await self._store.read_page(prefix, after=after, limit_count=limit_count)

    async def write(
        self, compares: Sequence[Compare], puts: Sequence[Put]
    ) -> TxnResult:
        """Apply all writes if all conditions hold."""
        await self._check_connection()
        return await self._store.write(compares, puts)

    @asynccontextmanager
    async def watch(
        self, prefix: str, *, from_revision: int
    ) -> AsyncIterator[AsyncIterator[WatchBatch]]:
        """Watch the writes to keys with a prefix."""
        await self._check_connection()
        self.watch_count += 1
        try:
            async with self._store.watch(prefix, from_revision=from_revision) as found:
                yield self._until_cut(found)
        finally:
            self.watch_count -= 1

    async def _until_cut(
        self, batches: AsyncIterator[WatchBatch]
    ) -> AsyncIterator[WatchBatch]:
        async for batch in batches:
            await self._check_connection()
            yield batch

    async def _check_connection(self) -> None:
        await trio.lowlevel.checkpoint()
        if self.is_cut:
            await trio.sleep(2)
            raise RequestError(ErrorKind.STORE_UNAVAILABLE, "no way to the store")


class TreeVm:
    """One VM that replicates the settings tree."""

    def __init__(self, net: "TreeNet", record: VmRecord) -> None:
        self.net = net
        self.name = record.name
        self.boot = f"{record.name}#{next(net.boots)}"
        self.membership = Membership(record)
        self.membership.apply_listing(net.listing)
        self.store = VmStore(net.store)
        self.has_listing = True
        self.tree = TreeService(
            self.store,
            self.membership,
            self,
            has_listing=lambda: self.has_listing,
            now_ms=net.now_ms,
        )
        self.scope = trio.CancelScope()

    def send(self, vm: str, message: Message) -> bool:
        """Send a message to a peer."""
        return self.net.deliver(self.name, vm, message)

    reply = send

    def send_heartbeats(self) -> None:
        """Send a heartbeat on every link now."""
        heartbeat = Heartbeat(
            *self.tree.heartbeat_fields(), self.membership.is_draining
        )
        for vm in list(self.net.vms):
            if vm != self.name:
                self.send(vm, heartbeat)

    def receive(self, vm: str, message: Message) -> None:
        """Handle a message from a peer."""
        if isinstance(message, Heartbeat):
            self.membership.on_heartbeat(
                vm, self.net.now_ms(), is_draining=message.draining
            )
            self.tree.on_heartbeat(vm, message)
        else:
            self.tree.on_message(vm, message)

    async def run(self) -> None:
        """Run until killed."""
        with self.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.tree.run)
                while True:
                    self.send_heartbeats()
                    revision = self.tree.state.revision
                    self.net.revisions.append((self.boot, revision))
                    await trio.sleep(HEARTBEAT_INTERVAL_S / 2)


class TreeNet:
    """VMs in several zones with one store.

    Args:
        zones: names of the VMs by zone.
    """

    def __init__(self, zones: dict[str, tuple[str, ...]]) -> None:
        self.store = FakeStore()
        self.boots = itertools.count(1)
        self.cut_links: set[frozenset[str]] = set()
        self.revisions: list[tuple[str, int]] = []
        self.zones = zones
        self.records = {
            name: VmRecord(name, zone, zone, name, False)
            for zone, names in zones.items()
            for name in names
        }
        self.listing = Listing(tuple(self.records.values()), ())
        self.vms: dict[str, TreeVm] = {}
        self._ids = itertools.count(1)
        self._nursery: trio.Nursery | None = None

    def now_ms(self) -> float:
        """Return the virtual time in milliseconds."""
        return trio.current_time() * 1000

    def new_id(self) -> str:
        """Return a new id; the sequence is the same in each run."""
        return f"id{next(self._ids)}"

    async def start(self, nursery: trio.Nursery, *names: str) -> None:
        """Start VMs, all of them if none is named."""
        self._nursery = nursery
        for name in names or self.records:
            self.boot(name)
        await trio.sleep(3)

    def boot(self, name: str, *, is_cut_from_store: bool = False) -> TreeVm:
        """Start one VM as a new process."""
        assert self._nursery is not None
        vm = TreeVm(self, self.records[name])
        vm.store.is_cut = is_cut_from_store
        self.vms[name] = vm
        self._nursery.start_soon(vm.run)
        return vm

    def kill(self, name: str) -> None:
        """End a VM without notice."""
        self.vms.pop(name).scope.cancel()
        for vm in self.vms.values():
            vm.membership.on_disconnected(name)
            vm.tree.on_link_closed(name)

    def cut_zone(self, zone: str, *, is_cut: bool = True) -> None:
        """Cut or restore a zone's links to the other zones and to the store."""
        for one, other in itertools.combinations(self.records, 2):
            if (self.records[one].zone == zone) != (self.records[other].zone == zone):
                link = frozenset((one, other))
                self.cut_links = (
                    self.cut_links | {link} if is_cut else self.cut_links - {link}
                )
        self.cut_from_store(zone, is_cut=is_cut)

    def cut_from_store(self, zone: str, *, is_cut: bool = True) -> None:
        """Cut or restore a zone's connections to the store."""
        for name in self.zones[zone]:
            if name in self.vms:
                self.vms[name].store.is_cut = is_cut

    def deliver(self, sender: str, receiver: str, message: Message) -> bool:
        """Deliver a message; ``False`` if there is no link."""
        is_cut = frozenset((sender, receiver)) in self.cut_links
        if is_cut or receiver not in self.vms or self._nursery is None:
            return False
        carried = decode(encode(message))
        self._nursery.start_soon(self._deliver_later, sender, receiver, carried)
        return True

    async def propose(self, **rules: Any) -> AcceptedChange:
        """Commit a change of the root's rules."""
        writer = TreeWriter(self.store, new_id=self.new_id, wall_ms=lambda: 0)
        base = await read_tree(self.store)
        proposal = Proposal("op", f"set / {rules}", {"root": {"rules": rules}})
        return await writer.propose(base, proposal)

    def in_force(self) -> dict[str, int]:
        """Return the revision in force by VM."""
        return {name: vm.tree.state.revision for name, vm in self.vms.items()}

    async def until_in_force(self, revision: int, *names: str) -> float:
        """Wait until a revision is in force, and return how long it took.

        The wait ends after ``LIMIT_S``, so that a test can fail on the time.
        """
        started_s = trio.current_time()
        wanted = names or tuple(self.vms)
        with trio.move_on_after(LIMIT_S):
            while any(self.in_force()[name] < revision for name in wanted):
                await trio.sleep(0.01)
        return trio.current_time() - started_s

    async def _deliver_later(
        self, sender: str, receiver: str, message: Message
    ) -> None:
        await trio.sleep(LINK_DELAY_S)
        target = self.vms.get(receiver)
        if target is not None and frozenset((sender, receiver)) not in self.cut_links:
            target.receive(sender, message)

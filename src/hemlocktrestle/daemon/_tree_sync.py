"""Synchronises the settings tree between VMs by the revisions in heartbeats."""

import logging
from collections.abc import Callable
from typing import NamedTuple

import trio

from hemlocktrestle.daemon._local_tree import LocalTree
from hemlocktrestle.errors import ErrorKind, RequestError
from hemlocktrestle.membership import Membership
from hemlocktrestle.tree import Change, TreePull, TreeState
from hemlocktrestle.wire import Heartbeat, Message, TreeFetch, TreePage

log = logging.getLogger(__name__)

PAGE_TIMEOUT_S = 2.0
"""Longest wait for one page from a peer, in seconds."""

CHECK_INTERVAL_S = 0.25
"""Interval of checks whether the tree may be put in force, in seconds."""


class _Announced(NamedTuple):
    revision: int
    lineage: str


class TreeSync:
    """Pulls newer trees from peers, and answers peers that pull.

    A VM pulls from its own zone; a relay also pulls from other zones, so that a zone
    whose relays cannot reach the store still gets changes through any working link.

    Args:
        local_tree: this VM's copy of the tree.
        membership: zones and relays.
        send: sends a message on the link that this VM opened.
        reply: answers a peer on the link that the peer opened.
        now_ms: returns the time of the process in milliseconds.
        is_zone_known: returns whether the zone's VMs are known from the list.
        has_store_answered: returns whether the store has answered since the start.
    """

    def __init__(
        self,
        local_tree: LocalTree,
        membership: Membership,
        *,
        send: Callable[[str, Message], bool],
        reply: Callable[[str, Message], bool],
        now_ms: Callable[[], float],
        is_zone_known: Callable[[], bool],
        has_store_answered: Callable[[], bool],
    ) -> None:
        self._local_tree = local_tree
        self._membership = membership
        self._send = send
        self._reply = reply
        self._now_ms = now_ms
        self._is_zone_known = is_zone_known
        self._has_store_answered = has_store_answered
        self._announced: dict[str, _Announced] = {}
        self._wake = trio.Event()
        self._pull_source = ""
        self._pages_in, self._pages_out = trio.open_memory_channel[TreePage](4)

    def on_heartbeat(self, vm: str, heartbeat: Heartbeat) -> None:
        """Record the revision that a peer announces."""
        announced = _Announced(heartbeat.tree_revision, heartbeat.tree_lineage)
        self._announced[vm] = announced
        if self._is_newer(announced):
            self._wake.set()
        elif announced.revision == self._local_tree.known.revision:
            self._confirm_by(vm, heartbeat)

    def on_link_closed(self, vm: str) -> None:
        """Remove the announcement of a peer whose link broke."""
        self._announced.pop(vm, None)

    def on_message(self, vm: str, message: Message) -> None:
        """Answer a peer's fetch, or accept the page that was requested."""
        if isinstance(message, TreeFetch):
            self._reply(vm, self._local_tree.log.page(message))
        elif isinstance(message, TreePage) and vm == self._pull_source:
            try:
                self._pages_in.send_nowait(message)
            except trio.WouldBlock:
                return

    async def run(self) -> None:
        """Pull newer trees and put the first one in force, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._activate_when_current)
            while True:
                await self._wake.wait()
                self._wake = trio.Event()
                for vm in self._sources():
                    if await self._pull(vm):
                        break

    async def _activate_when_current(self) -> None:
        while not self._local_tree.is_active:
            if self._may_activate():
                self._local_tree.activate()
            await trio.sleep(CHECK_INTERVAL_S)

    def _may_activate(self) -> bool:
        """Return whether the known tree is known not to be outdated."""
        revision = self._local_tree.known.revision
        if not revision or any(map(self._is_newer, self._announced.values())):
            return False
        if self._has_store_answered():
            return True
        return self._is_zone_known() and not self._membership.peers_without_heartbeat()

    def _is_newer(self, announced: _Announced) -> bool:
        known = self._local_tree.known
        if announced.revision <= known.revision:
            return False
        return not known.revision or announced.lineage == known.lineage

    def _confirm_by(self, vm: str, heartbeat: Heartbeat) -> None:
        zone = self._membership.vm.zone
        relays = self._membership.relays(zone, self._now_ms())
        if vm in relays and heartbeat.tree_age_ms < self._local_tree.age_ms:
            self._local_tree.confirm()

    def _sources(self) -> list[str]:
        """Return the peers to pull from, the preferred one first."""
        now_ms = self._now_ms()
        zone = self._membership.vm.zone
        relays = self._membership.relays(zone, now_ms)
        is_relay = self._membership.vm.name in relays
        ranked = []
        for vm, announced in self._announced.items():
            record = self._membership.vm_record(vm)
            is_own = record is not None and record.zone == zone
            if self._is_newer(announced) and (is_own or is_relay):
                ranked.append((not is_own, vm not in relays, -announced.revision, vm))
        return [vm for *_, vm in sorted(ranked)]

    async def _pull(self, vm: str) -> bool:
        """Pull from a peer until the revision that it announced is reached."""
        pull = TreePull(self._local_tree.known)
        self._pull_source = vm
        target = self._announced.get(vm, _Announced(0, "")).revision
        try:
            while self._local_tree.known.revision < target:
                update = pull.add_page(await self._next_page(vm, pull.fetch))
                if update is not None:
                    self._apply_page(pull, update, vm)
        except RequestError as error:
            log.warning(
                "tree_pull_failed",
                extra={
                    "peer": vm,
                    "error_kind": error.kind.value,
                    "reason": str(error),
                },
            )
            return False
        finally:
            self._pull_source = ""
        return True

    async def _next_page(self, vm: str, fetch: TreeFetch) -> TreePage:
        while True:
            try:
                self._pages_out.receive_nowait()
            except trio.WouldBlock:
                break
        if self._send(vm, fetch):
            with trio.move_on_after(PAGE_TIMEOUT_S):
                return await self._pages_out.receive()
        raise RequestError(ErrorKind.PEER_FRAME, "peer sent no page of the tree")

    def _apply_page(
        self, pull: TreePull, update: list[Change] | TreeState, vm: str
    ) -> None:
        if isinstance(update, TreeState):
            if update.revision <= self._local_tree.known.revision:
                raise RequestError(ErrorKind.PEER_FRAME, "peer's tree is no newer")
            self._local_tree.apply_tree(update, source=vm)
            return
        try:
            for change in update:
                self._local_tree.apply_change(change, source=vm)
        except RequestError as error:
            if error.kind is not ErrorKind.SETTINGS_CONFLICT or pull.fetch.is_snapshot:
                raise
            pull.request_snapshot()

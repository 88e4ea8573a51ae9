"""Distribution of the settings tree to a VM and on to its peers."""

from collections.abc import Callable
from typing import Any, Protocol

import trio

from hemlocktrestle.daemon._local_tree import LocalTree
from hemlocktrestle.daemon._tree_follower import TreeFollower
from hemlocktrestle.daemon._tree_sync import TreeSync
from hemlocktrestle.membership import Membership
from hemlocktrestle.ports import Store
from hemlocktrestle.tree import TreeState
from hemlocktrestle.wire import Message, TreeFetch, TreePage

TREE_MESSAGES: tuple[type, ...] = (TreeFetch, TreePage)
"""Messages that this service handles."""


class Links(Protocol):
    """The links to the peers."""

    def send(self, vm: str, message: Message) -> bool:
        """Send a message to a peer; ``False`` if there is no link."""
        ...

    def reply(self, vm: str, message: Message) -> bool:
        """Answer a peer on the link that it opened."""
        ...

    def send_heartbeats(self) -> None:
        """Send a heartbeat on every link now."""
        ...


class TreeService:
    """Follows the store if this VM is a relay, and its peers otherwise.

    Args:
        store: the key-value service.
        membership: zones and relays.
        links: the links to the peers.
        has_listing: returns whether the platform's list was read.
        now_ms: returns the time of the process in milliseconds.
    """

    def __init__(
        self,
        store: Store,
        membership: Membership,
        links: Links,
        *,
        has_listing: Callable[[], bool],
        now_ms: Callable[[], float],
    ) -> None:
        self._membership = membership
        self._links = links
        self._now_ms = now_ms
        self.local_tree = LocalTree(now_ms=now_ms, on_advanced=self._on_advanced)
        self._follower = TreeFollower(
            store, self.local_tree, is_watcher=lambda: self.is_relay
        )
        self._sync = TreeSync(
            self.local_tree,
            membership,
            send=links.send,
            reply=links.reply,
            now_ms=now_ms,
            is_zone_known=has_listing,
            has_store_answered=lambda: self._follower.has_answered,
        )
        self.on_heartbeat = self._sync.on_heartbeat
        self.on_message = self._sync.on_message
        self.on_link_closed = self._sync.on_link_closed

    @property
    def state(self) -> TreeState:
        """The tree in force; empty until it is known not to be outdated."""
        return self.local_tree.state

    @property
    def is_relay(self) -> bool:
        """Whether this VM watches the store for its zone."""
        vm = self._membership.vm
        return vm.name in self._membership.relays(vm.zone, self._now_ms())

    async def run(self) -> None:
        """Follow store and peers until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._follower.run)
            nursery.start_soon(self._sync.run)

    def heartbeat_fields(self) -> tuple[int, str, int]:
        """Return revision, lineage and age of the tree for a heartbeat."""
        known = self.local_tree.known
        return known.revision, known.lineage, self.local_tree.age_ms

    def status(self) -> dict[str, Any]:
        """Return the section on the tree of the status document."""
        return {
            "revision": self.state.revision,
            "lineage": self.state.lineage,
            "age_ms": self.local_tree.age_ms,
            "is_relay": self.is_relay,
            "store_problem": self._follower.problem,
            "store_revision": self._follower.store_revision,
        }

    def _on_advanced(self) -> None:
        # The zone learns of changes only from its relays, so they announce them at
        # once.
        if self.is_relay:
            self._links.send_heartbeats()

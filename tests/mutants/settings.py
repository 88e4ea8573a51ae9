"""Mutants of the spreading of settings."""

from collections.abc import Sequence

from hemlocktrestle.daemon._tree_follower import TreeFollower
from hemlocktrestle.daemon._tree_sync import TreeSync
from hemlocktrestle.errors import ErrorKind, RequestError
from hemlocktrestle.membership import Membership
from hemlocktrestle.ports import Compare, Put, Store, TxnResult
from hemlocktrestle.tree import EMPTY_TREE, Change, TreeState
from hemlocktrestle.treestore import Head, TreeWriter, read_change
from hemlocktrestle.wire import Heartbeat
from tests.mutants import mutant


@mutant("settings.older_taken")
def take_an_older_store() -> None:
    """A VM follows the store wherever it goes."""

    def blind(self: TreeFollower, head: Head) -> None:
        if head.revision < self._local_tree.known.revision:
            self._local_tree.log.replace(EMPTY_TREE)

    TreeFollower._check_head = blind  # type: ignore[method-assign]


@mutant("settings.fork_taken")
def take_a_fork() -> None:
    """A VM does not look whether the store's history holds its own change."""

    async def always(self: TreeFollower) -> bool:
        return True

    TreeFollower._has_own_change = always  # type: ignore[method-assign]


@mutant("settings.peers_unheard")
def pull_from_nobody() -> None:
    """VMs do not heed the revisions that their peers announce."""

    def deaf(self: TreeSync, vm: str, heartbeat: Heartbeat) -> None:
        return

    TreeSync.on_heartbeat = deaf  # type: ignore[method-assign]


@mutant("settings.no_wait_at_boot")
def serve_under_any_tree() -> None:
    """A VM that starts takes the first tree that it hears of."""

    def at_once(self: TreeSync) -> bool:
        return self._local_tree.known.revision > 0

    TreeSync._may_activate = at_once  # type: ignore[method-assign]


@mutant("settings.all_watch")
def watch_from_every_vm() -> None:
    """Every VM watches the store."""

    def all_vms(self: Membership, domain: str, now_ms: float) -> list[str]:
        return self.live_vms(domain, now_ms)

    Membership.relays = all_vms  # type: ignore[method-assign]


@mutant("settings.no_compare")
def write_changes_without_compare() -> None:
    """Changes overwrite each other, as without compare-and-swap."""
    original = TreeWriter.__init__

    class Blind:
        def __init__(self, store: Store) -> None:
            self.read = store.read
            self._store = store

        async def write(
            self, compares: Sequence[Compare], puts: Sequence[Put]
        ) -> TxnResult:
            return await self._store.write([], puts)

    def blind_init(self: TreeWriter, store: Store, **options: object) -> None:
        original(self, Blind(store), **options)  # type: ignore[arg-type]

    TreeWriter.__init__ = blind_init  # type: ignore[assignment,method-assign]


@mutant("settings.no_fence")
def settle_without_a_fence() -> None:
    """A lost write is taken for dead as soon as it cannot be read."""

    async def unfenced(
        self: TreeWriter, change: Change, guard: Compare, base: TreeState
    ) -> bool:
        stored = await read_change(self._store, change.revision)
        if stored is not None:
            return stored.change_id == change.change_id
        raise RequestError(
            ErrorKind.STORE_UNAVAILABLE, "was not accepted, and it will not be"
        )

    TreeWriter._resolve_outcome = unfenced  # type: ignore[method-assign]

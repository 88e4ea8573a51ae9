"""Tests of changes to the settings tree in the store, and of recovery."""

from typing import Any

import trio

from hemlocktrestle.errors import ErrorKind, RequestError
from hemlocktrestle.tree import EMPTY_TREE, with_documents
from hemlocktrestle.treestore import (
    HEAD_KEY,
    AcceptedChange,
    Proposal,
    TreeWriter,
    read_history,
    read_tree,
    recover_tree,
)
from hemlocktrestle.treestore._writer import DOCUMENTS_MAX
from tests.support import FakeStore, TrioTestCase
from tests.support._store import StoreFault


class Operator:
    """The command-line tool of one operator."""

    def __init__(self, store: FakeStore, name: str) -> None:
        self.store = store
        self.name = name
        self._count = 0

    def new_id(self) -> str:
        """Return a fresh id."""
        self._count += 1
        return f"{self.name}-{self._count}"

    async def propose(self, base: Any, **rules: Any) -> AcceptedChange:
        """Propose new rules of the root on top of a base tree."""
        writer = TreeWriter(self.store, new_id=self.new_id, wall_ms=lambda: 0)
        summary = f"set / {rules}"
        proposal = Proposal(self.name, summary, {"root": {"rules": rules}})
        return await writer.propose(base, proposal)


def inject_write_fault(store: FakeStore, fault: StoreFault) -> None:
    """Inject a fault into the next write."""
    met: list[str] = []

    def decide(call: str, number: int) -> StoreFault:
        if call != "write" or met:
            return StoreFault.NONE
        met.append(call)
        return fault

    store.fault = decide


class TreeWriterTests(TrioTestCase):
    """A change is accepted once, or the operator gets an error."""

    async def _error(self, operator: Operator, base: Any, **rules: Any) -> RequestError:
        try:
            await operator.propose(base, **rules)
        except RequestError as error:
            return error
        raise AssertionError("was accepted")

    async def test_two_operators_race(self) -> None:
        """One is accepted; the other gets an error with both edits, writing nothing."""
        store = FakeStore()
        base = await read_tree(store)
        await Operator(store, "ann").propose(base, weight=2.0)
        after = dict(store.items)
        error = await self._error(Operator(store, "ben"), base, weight=3.0)
        self.assertIs(ErrorKind.SETTINGS_CONFLICT, error.kind)
        self.assertIn("{'weight': 2.0} (by ann, revision 1)", error.message)
        self.assertIn("{'weight': 3.0}", error.message)
        self.assertEqual(after, store.items)

    async def test_ten_operators_race(self) -> None:
        """Of ten concurrent changes on the same base exactly one is accepted."""
        store = FakeStore()
        base = await read_tree(store)
        accepted: list[str] = []

        async def one(name: str) -> None:
            try:
                await Operator(store, name).propose(base, weight=2.0)
            except RequestError:
                return
            accepted.append(name)

        async with trio.open_nursery() as nursery:
            for index in range(10):
                nursery.start_soon(one, f"op{index}")
        history = await read_history(store)
        self.assertEqual(accepted, [change.author for change in history])
        self.assertEqual(1, len(accepted))

    async def test_an_answer_lost_after_the_write(self) -> None:
        """If only the answer is lost, reading the store shows the change accepted."""
        store = FakeStore()
        base = await read_tree(store)
        inject_write_fault(store, StoreFault.LOST_ANSWER)
        accepted = await Operator(store, "ann").propose(base, weight=2.0)
        self.assertTrue(accepted.is_settled_by_reading)
        self.assertEqual(1, (await read_tree(store)).state.revision)

    async def test_a_write_that_never_arrived(self) -> None:
        """The error says that the write failed, and its late arrival has no effect."""
        store = FakeStore()
        base = await read_tree(store)
        inject_write_fault(store, StoreFault.LOST_CALL)
        error = await self._error(Operator(store, "ann"), base, weight=2.0)
        self.assertIn("was not accepted, and it will not be", error.message)
        late = await self._error(Operator(store, "late"), base, weight=2.0)
        self.assertIs(ErrorKind.SETTINGS_CONFLICT, late.kind)
        again = await read_tree(store)
        await Operator(store, "ann").propose(again, weight=2.0)
        self.assertEqual(1, len(await read_history(store)))

    async def test_an_unreachable_store_leaves_the_outcome_unknown(self) -> None:
        """If the outcome cannot be determined, the error says so with the change id."""
        store = FakeStore()
        base = await read_tree(store)
        store.set_down(True)
        error = await self._error(Operator(store, "ann"), base, weight=2.0)
        self.assertIn("not known whether", error.message)
        self.assertIn("ann-2", error.message)

    async def test_too_large_changes(self) -> None:
        """A change too large for the store or a peer's page is refused."""
        store = FakeStore()
        base = await read_tree(store)
        writer = TreeWriter(store, new_id=lambda: "id", wall_ms=lambda: 0)
        many: dict[str, Any] = {
            f"customers/c{index}": {} for index in range(DOCUMENTS_MAX + 1)
        }
        wide: dict[str, Any] = {
            "customers/c": {
                "services": {f"s{index}": {"rules": {}} for index in range(40_000)}
            }
        }
        for documents in (many, wide):
            try:
                await writer.propose(base, Proposal("op", "", documents))
            except RequestError as error:
                self.assertIs(ErrorKind.SETTINGS_INVALID, error.kind)
            else:
                self.fail("was accepted")
        self.assertEqual({}, store.items)


class RecoveryTests(TrioTestCase):
    """Recovery writes the newest tree of the daemons to an older store."""

    async def test_an_interrupted_recovery_can_be_run_again(self) -> None:
        """An unfinished recovery makes the tree unreadable until it is run again."""
        store = FakeStore()
        operator = Operator(store, "ann")
        await operator.propose(await read_tree(store), weight=2.0)
        lineage = (await read_tree(store)).state.lineage
        documents: dict[str, Any] = {
            f"customers/c{index}": {"rules": {}} for index in range(120)
        }
        newest = with_documents(
            EMPTY_TREE, documents, revision=9, lineage=lineage, change_id="nine"
        )

        def lose_second_batch(call: str, number: int) -> StoreFault:
            count = store.calls.count("write")
            is_lost = call == "write" and count == 4
            return StoreFault.LOST_CALL if is_lost else StoreFault.NONE

        store.fault = lose_second_batch
        for _ in range(2):
            try:
                change = await recover_tree(
                    store, newest, author="ann", new_id=operator.new_id, wall_ms=0
                )
            except RequestError:
                with self.assertRaises(RequestError):  # type: ignore[no-untyped-call]
                    await read_tree(store)
        stored = await read_tree(store)
        self.assertEqual(10, change.revision)
        self.assertEqual(
            (10, 120), (stored.state.revision, len(stored.state.customers))
        )
        self.assertNotIn("rules", stored.state.root)
        self.assertIn(HEAD_KEY, store.items)

    async def test_a_store_that_is_not_older(self) -> None:
        """Recovery is refused, and nothing is written."""
        store = FakeStore()
        operator = Operator(store, "ann")
        await operator.propose(await read_tree(store), weight=2.0)
        before = dict(store.items)
        newest = (await read_tree(store)).state
        with self.assertRaises(RequestError):  # type: ignore[no-untyped-call]
            await recover_tree(
                store, newest, author="ann", new_id=operator.new_id, wall_ms=0
            )
        self.assertEqual(before, store.items)

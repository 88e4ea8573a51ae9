"""Tests of the transfer of the settings tree between VMs."""

from testtools import TestCase

from hemlocktrestle.errors import RequestError
from hemlocktrestle.tree import (
    EMPTY_TREE,
    Change,
    TreeLog,
    TreePull,
    TreeState,
    documents_of,
    token_digest,
    with_documents,
)
from hemlocktrestle.tree._pages import PAGE_BYTES
from hemlocktrestle.wire import FRAME_BYTES_MAX, TreePage, decode, encode

CUSTOMERS = 3_000


def big_state(revision: int = 7) -> TreeState:
    """Return a tree that needs several pages."""
    customer = {"rules": {"weight": 2.0}, "services": {"chat": {"callers": {}}}}
    documents = {
        f"customers/c{index}": {
            **customer,
            "tokens": {token_digest(f"t{index}"): {"caller": f"caller-{index}"}},
        }
        for index in range(CUSTOMERS)
    }
    return with_documents(
        EMPTY_TREE, documents, revision=revision, lineage="l", change_id="id"
    )


def next_change(state: TreeState, weight: float) -> Change:
    """Return a change that directly follows a tree."""
    documents = {"root": {"rules": {"weight": weight}}}
    revision = state.revision + 1
    change_id = f"id{revision}"
    return Change(revision, "l", change_id, "op", 0, "", documents, state.change_id)


def pull_until_current(log: TreeLog, state: TreeState) -> tuple[TreeState, int]:
    """Pull until the receiver is up to date; return its tree and the page count."""
    pull = TreePull(state)
    taken: object = None
    pages = 0
    receiver = TreeLog()
    receiver.replace(state)
    while receiver.state.revision < log.state.revision:
        page = decode(encode(log.page(pull.fetch)))
        assert isinstance(page, TreePage)
        assert len(page.body) < FRAME_BYTES_MAX
        pages += 1
        taken = pull.add_page(page)
        if isinstance(taken, TreeState):
            receiver.replace(taken)
        elif isinstance(taken, list):
            for change in taken:
                receiver.advance(change)
    return receiver.state, pages


class TreePagesTests(TestCase):
    """A peer that pulls the tree ends with the same tree."""

    def test_a_snapshot_comes_in_pages(self) -> None:
        """A VM without a tree gets every document, in pages below the frame limit."""
        log = TreeLog()
        log.replace(big_state())
        state, pages = pull_until_current(log, EMPTY_TREE)
        self.assertEqual(documents_of(log.state), documents_of(state))
        self.assertEqual(("l", "id"), (state.lineage, state.change_id))
        self.assertGreater(pages, 1)
        self.assertLess(pages, 2 + 250 * CUSTOMERS / PAGE_BYTES)

    def test_recent_changes_are_sent_without_a_snapshot(self) -> None:
        """A VM that lags by a few revisions gets the changes, not a snapshot."""
        log = TreeLog()
        log.replace(big_state())
        behind = log.state
        for weight in (1.0, 2.0, 3.0):
            log.advance(next_change(log.state, weight))
        state, pages = pull_until_current(log, behind)
        self.assertEqual(1, pages)
        self.assertEqual(documents_of(log.state), documents_of(state))

    def test_snapshot_pages_have_one_revision(self) -> None:
        """All pages of one snapshot have the same revision."""
        log = TreeLog()
        log.replace(big_state())
        pull = TreePull(EMPTY_TREE)
        first = log.page(pull.fetch)
        self.assertIsNone(pull.add_page(first))
        log.advance(next_change(log.state, 9.0))
        taken = None
        while taken is None:
            taken = pull.add_page(log.page(pull.fetch))
        assert isinstance(taken, TreeState)
        self.assertEqual(7, taken.revision)
        self.assertNotIn("rules", taken.root)

    def test_garbage_is_refused(self) -> None:
        """A page that cannot be parsed, or is empty, raises an error."""
        for body in (b"", b"[]", b"\xff", b'{"changes": [7]}'):
            pull = TreePull(EMPTY_TREE)
            page = TreePage(9, "l", body, True)
            self.assertRaises(RequestError, pull.add_page, page)

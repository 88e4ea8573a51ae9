"""Tests of the persistent mapping."""

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from hemlocktrestle.tree import ShardedMap
from hemlocktrestle.tree._sharded import SHARD_COUNT

CHANGES = st.dictionaries(
    st.text(max_size=2), st.none() | st.integers(1, 9), max_size=6
)


class ShardedMapTests(TestCase):
    """The mapping behaves as a dict that is copied on each change."""

    @given(st.lists(CHANGES, max_size=8))
    def test_updated_copies_equal_dicts(self, steps: list[dict[str, int]]) -> None:
        """Each updated copy equals a dict with the same changes; older ones stay."""
        mapping: ShardedMap[int] = ShardedMap()
        plain: dict[str, int] = {}
        history = []
        for changes in steps:
            mapping = mapping.with_changes(changes)
            plain = {key: value for key, value in (plain | changes).items() if value}
            history.append((mapping, plain))
        for successor, expected in history:
            self.assertEqual(expected, dict(successor))
            self.assertEqual(len(expected), len(successor))

    def test_a_change_copies_one_shard(self) -> None:
        """All shards but the changed one are the same objects."""
        first = ShardedMap[int]().with_changes(
            {str(index): 1 for index in range(5_000)}
        )
        second = first.with_changes({"7": 2})
        shared = sum(
            one is other
            for one, other in zip(first._shards, second._shards, strict=True)
        )
        self.assertEqual(SHARD_COUNT - 1, shared)

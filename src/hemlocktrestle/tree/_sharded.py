"""A persistent mapping: an updated copy shares the shards that did not change."""

from collections.abc import Iterator, Mapping
from typing import TypeVar

SHARD_COUNT = 512
"""Number of shards of a mapping; an updated copy duplicates only changed shards."""

_Value = TypeVar("_Value")


class ShardedMap(Mapping[str, _Value]):
    """An immutable mapping with string keys, split into shards by hash.

    An updated copy costs one pass over the table of shards and a copy of each
    changed shard, not a copy of the whole mapping.
    """

    __slots__ = ("_count", "_shards")

    def __init__(self) -> None:
        self._shards: tuple[dict[str, _Value], ...] = ({},) * SHARD_COUNT
        self._count = 0

    def __getitem__(self, key: str) -> _Value:
        return self._shards[hash(key) % SHARD_COUNT][key]

    def __iter__(self) -> Iterator[str]:
        for shard in self._shards:
            yield from shard

    def __len__(self) -> int:
        return self._count

    def with_changes(
        self, changes: Mapping[str, _Value | None]
    ) -> "ShardedMap[_Value]":
        """Return a copy with some keys set or removed.

        Args:
            changes: new values by key; ``None`` removes a key.

        Returns:
            The updated copy; this mapping stays unchanged.
        """
        changed_shards: dict[int, dict[str, _Value]] = {}
        count = self._count
        for key, value in changes.items():
            index = hash(key) % SHARD_COUNT
            shard = changed_shards.get(index)
            if shard is None:
                shard = changed_shards[index] = dict(self._shards[index])
            if value is None:
                count -= shard.pop(key, None) is not None
            else:
                count += key not in shard
                shard[key] = value
        updated: ShardedMap[_Value] = ShardedMap()
        shards = list(self._shards)
        for index, shard in changed_shards.items():
            shards[index] = shard
        updated._shards = tuple(shards)
        updated._count = count
        return updated

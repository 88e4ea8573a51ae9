"""The upstreams of a pool, found by free slots, by load and by prefix."""

from collections.abc import Callable, Iterable, Iterator
from typing import NamedTuple

from hemlocktrestle.membership import UpstreamRecord
from hemlocktrestle.scheduler._heap import LazyHeap
from hemlocktrestle.scheduler._prefixes import PREFIX_TOKENS
from hemlocktrestle.scheduler._queue import AskClass, class_of
from hemlocktrestle.scheduler._slowdown import straggler_limit
from hemlocktrestle.scheduler._upstream import InFlight, UpstreamModel
from hemlocktrestle.tree import TIERS
from hemlocktrestle.wire import Ask, Pulse, Release

CANDIDATE_COUNT = 8
"""Upstreams that are weighed against each other for one ask."""


class Kind(NamedTuple):
    """Asks for which the same upstreams have room."""

    tier: int
    is_long: bool


class _Room:
    """The upstreams with room for one kind of asks, also by load."""

    __slots__ = ("by_load", "free")

    def __init__(self, holds: Callable[[tuple[float, str, int]], bool]) -> None:
        self.free: set[str] = set()
        self.by_load: LazyHeap[tuple[float, str, int]] = LazyHeap(holds)


def _kind(tier: int, is_long: bool) -> Kind:
    return Kind(min(tier, len(TIERS) - 1), is_long)


class UpstreamSet:
    """Models of a pool's upstreams, and of those that left with work in hand.

    Args:
        new_model: makes the model of an upstream.
        detects_stragglers: whether slow upstreams are kept to probes.
    """

    def __init__(
        self,
        new_model: Callable[[UpstreamRecord], UpstreamModel],
        *,
        detects_stragglers: bool = True,
    ) -> None:
        self._new_model = new_model
        self._detects_stragglers = detects_stragglers
        self._models: dict[str, UpstreamModel] = {}
        self._leaving: dict[str, UpstreamModel] = {}
        self._at: dict[str, str] = {}
        self._rooms = {
            Kind(tier, is_long): _Room(self._holds)
            for tier in range(len(TIERS))
            for is_long in (False, True)
        }
        self._paced: LazyHeap[tuple[float, str]] = LazyHeap(self._is_paced)
        self._by_prefix: dict[int, set[str]] = {}
        self._best_prefill = 0.0
        self._best_decode = 0.0

    def __len__(self) -> int:
        return len(self._models)

    def __iter__(self) -> Iterator[UpstreamModel]:
        return iter(self._models.values())

    def set(self, records: Iterable[UpstreamRecord]) -> bool:
        """Take in which upstreams may be given work.

        Returns:
            Whether that changed.
        """
        wanted = {record.name: record for record in records}
        for name in self._models.keys() & wanted.keys():
            self._models[name].record = wanted[name]
        is_changed = self._models.keys() != wanted.keys()
        for name in self._models.keys() - wanted.keys():
            self._leaving[name] = self._models.pop(name)
            self._close(name)
        for name in sorted(wanted.keys() - self._models.keys()):
            model = self._leaving.pop(name, None) or self._new_model(wanted[name])
            model.record = wanted[name]
            self._models[name] = model
            self._changed(model)
        for name in [
            name for name, left in self._leaving.items() if not left.in_flight
        ]:
            del self._leaving[name]
        return is_changed

    @property
    def has_room(self) -> bool:
        """Whether an upstream has room for asks of some kind."""
        return any(room.free for room in self._rooms.values())

    def is_open(self, ask_class: AskClass, tier: int) -> bool:
        """Tell whether an upstream has room for asks of a class and tier."""
        free = self._rooms[_kind(tier, ask_class.is_long)].free
        closed_count = sum(name in free for name in ask_class.excluded)
        return len(free) > closed_count

    def advance(self, now_ms: float) -> None:
        """Open upstreams to long prompts whose pause is over."""
        while (entry := self._paced.peek()) is not None and entry[0] <= now_ms:
            self._paced.pop()
            model = self._models[entry[1]]
            model.paced_until_ms = 0.0
            self._changed(model)

    def serves(self, excluded: tuple[str, ...]) -> bool:
        """Tell whether there is an upstream outside the excluded ones at all."""
        return len(self._models) > sum(name in self._models for name in set(excluded))

    def candidates(self, ask: Ask) -> list[UpstreamModel]:
        """Return free upstreams for an ask: the least loaded, and its prefix's."""
        room = self._rooms[_kind(ask.tier, class_of(ask).is_long)]
        found: dict[str, UpstreamModel] = {}
        popped = []
        while len(found) < CANDIDATE_COUNT:
            entry = room.by_load.pop()
            if entry is None:
                break
            popped.append(entry)
            if entry[1] not in ask.excluded:
                found[entry[1]] = self._models[entry[1]]
        for entry in popped:
            room.by_load.push(entry)
        for name in self._by_prefix.get(ask.prefix_digest, ()):
            if name in room.free and name not in ask.excluded:
                found[name] = self._models[name]
        return list(found.values())

    def take(self, model: UpstreamModel, ask: Ask, vm: str, now_ms: float) -> None:
        """Count an ask as in hand at an upstream."""
        name = model.record.name
        self._at[ask.ask_id] = name
        forgotten = model.take(ask, vm, now_ms)
        if ask.prefix_digest:
            self._by_prefix.setdefault(ask.prefix_digest, set()).add(name)
        if forgotten is not None:
            names = self._by_prefix.get(forgotten, set())
            names.discard(name)
            if not names:
                self._by_prefix.pop(forgotten, None)
        self._changed(model)

    def hold(self, upstream: str, ask_id: str, item: InFlight) -> None:
        """Count a request as in hand that an earlier keeper permitted."""
        model = self._models.get(upstream) or self._leaving.get(upstream)
        if model is not None:
            self._at[ask_id] = upstream
            model.hold(ask_id, item)
            self._changed(model)

    def drop(self, ask_id: str) -> None:
        """Take a request out of hand without learning from it."""
        model = self._requester_of(ask_id)
        if model is not None:
            model.drop(ask_id)
            self._changed(model)

    def give_back(self, release: Release, now_ms: float) -> None:
        """Take a request out of hand and learn from it."""
        model = self._requester_of(release.ask_id)
        if model is not None:
            model.give_back(release, now_ms)
            self._changed(model)

    def pulse(self, pulse: Pulse) -> None:
        """Learn from a stream that still runs."""
        model = self._models.get(pulse.upstream)
        if model is not None:
            model.pulse(pulse)

    def requester_lost(self, vm: str) -> list[str]:
        """Take out of hand all that a VM held, and return the ids."""
        lost = [
            ask_id
            for model in [*self._models.values(), *self._leaving.values()]
            for ask_id, item in model.in_flight.items()
            if item.vm == vm
        ]
        for ask_id in lost:
            self.drop(ask_id)
        return lost

    def look_for_stragglers(self, now_ms: float) -> None:
        """Compare each upstream with its own past and with its peers; now and then."""
        if not self._models:
            return
        self._best_prefill = min(model.rates.prefill.ms_per_token for model in self)
        self._best_decode = min(model.rates.decode.ms_per_token(1) for model in self)
        self._assume_the_best()
        if not self._detects_stragglers:
            return
        for model in self:
            model.look_for_overdue(now_ms)
        factors = {model: model.slowdown.factor(now_ms) for model in self}
        limit = straggler_limit(factors.values())
        for model, factor in factors.items():
            is_straggler = factor > limit
            if is_straggler != model.is_straggler:
                model.is_straggler = is_straggler
                self._changed(model)

    def _assume_the_best(self) -> None:
        """Give upstreams that never answered the fastest peer's speed.

        Otherwise one that started worse than its peers would never be tried.
        """
        fastest = min(
            (model for model in self if model.learned_count),
            key=lambda model: model.rates.decode.ms_per_token(1),
            default=None,
        )
        if fastest is None:
            return
        for model in self:
            if not model.learned_count and not model.in_flight:
                model.rates = fastest.rates.copied()
                self._changed(model)

    def idle_ms(self, ask: Ask) -> float:
        """Estimate the time of an ask on the fastest upstream, if it were idle."""
        tokens = max(1, ask.prompt_tokens - PREFIX_TOKENS)
        return tokens * self._best_prefill + ask.output_tokens * self._best_decode

    def _requester_of(self, ask_id: str) -> UpstreamModel | None:
        name = self._at.pop(ask_id, "")
        return self._models.get(name) or self._leaving.get(name)

    def _changed(self, model: UpstreamModel) -> None:
        """Enter an upstream anew where its load or room may have changed."""
        name = model.record.name
        model.change_count += 1
        self._close(name)
        if name not in self._models:
            return
        if model.paced_until_ms:
            self._paced.push((model.paced_until_ms, name))
        entry = (model.nominal_ms(), name, model.change_count)
        for kind, room in self._rooms.items():
            if kind.is_long and model.paced_until_ms:
                continue
            if model.has_room(kind.tier):
                room.free.add(name)
                room.by_load.push(entry)

    def _close(self, name: str) -> None:
        for room in self._rooms.values():
            room.free.discard(name)

    def _is_paced(self, entry: tuple[float, str]) -> bool:
        model = self._models.get(entry[1])
        return model is not None and model.paced_until_ms == entry[0]

    def _holds(self, entry: tuple[float, str, int]) -> bool:
        model = self._models.get(entry[1])
        return model is not None and model.change_count == entry[2]

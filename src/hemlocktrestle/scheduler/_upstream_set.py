"""The upstreams of a pool, indexed by free slots, load and cached prefix."""

from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from typing import NamedTuple

from hemlocktrestle.locality import ZoneReason
from hemlocktrestle.membership import UpstreamRecord
from hemlocktrestle.scheduler._heap import LazyHeap
from hemlocktrestle.scheduler._prefixes import PREFIX_TOKENS
from hemlocktrestle.scheduler._queue import AskClass, class_of
from hemlocktrestle.scheduler._slowdown import straggler_limit
from hemlocktrestle.scheduler._upstream import InFlight, UpstreamModel
from hemlocktrestle.wire import TIERS, Ask, Pulse, Release

CANDIDATE_COUNT = 8
"""Least loaded upstreams that are compared for one request."""

NEAR_SEARCH_COUNT = 3 * CANDIDATE_COUNT
"""Least loaded upstreams among which one of the requester's zone is looked for."""


class CapacityClass(NamedTuple):
    """Requests for which the same upstreams have room."""

    tier: int
    is_long: bool


class _FreeUpstreams:
    """The upstreams with room for one kind of requests, also by load."""

    __slots__ = ("by_load", "names")

    def __init__(self, is_valid: Callable[[tuple[float, str, int]], bool]) -> None:
        self.names: set[str] = set()
        self.by_load: LazyHeap[tuple[float, str, int]] = LazyHeap(is_valid)


def _capacity_class(tier: int, is_long: bool) -> CapacityClass:
    return CapacityClass(min(tier, len(TIERS) - 1), is_long)


class UpstreamSet:
    """Models of a pool's upstreams, and of removed ones with requests in flight.

    Args:
        new_model: makes the model of an upstream.
        detects_stragglers: whether slow upstreams are given only requests that
            probe them.
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
        self._removed: dict[str, UpstreamModel] = {}
        self._upstream_of_ask: dict[str, str] = {}
        self._free_by_class = {
            CapacityClass(tier, is_long): _FreeUpstreams(self._is_load_current)
            for tier in range(len(TIERS))
            for is_long in (False, True)
        }
        self._paced: LazyHeap[tuple[float, str]] = LazyHeap(self._is_pause_current)
        self._by_prefix: dict[int, set[str]] = {}
        self._fastest_prefill = 0.0
        self._fastest_decode = 0.0
        self._slot_count = 0
        self._zones: set[str] = set()
        self._reserved: frozenset[str] = frozenset()
        self._reserved_counts: Counter[str] = Counter()

    def __len__(self) -> int:
        return len(self._models)

    def __iter__(self) -> Iterator[UpstreamModel]:
        return iter(self._models.values())

    def update(self, records: Iterable[UpstreamRecord]) -> bool:
        """Update which upstreams may be given work.

        Returns:
            Whether the set of their names changed.
        """
        wanted = {record.name: record for record in records}
        for name in self._models.keys() & wanted.keys():
            self._models[name].record = wanted[name]
        is_changed = self._models.keys() != wanted.keys()
        for name in self._models.keys() - wanted.keys():
            self._removed[name] = self._models.pop(name)
            self._unindex(name)
        for name in sorted(wanted.keys() - self._models.keys()):
            model = self._removed.pop(name, None) or self._new_model(wanted[name])
            model.record = wanted[name]
            model.is_reserved = name in self._reserved
            self._models[name] = model
            self._reindex(model)
        for name in [
            name for name, model in self._removed.items() if not model.in_flight
        ]:
            del self._removed[name]
        self._slot_count = sum(model.slots for model in self if not model.is_reserved)
        self._zones = {model.record.zone for model in self}
        return is_changed

    def reserve(self, names: frozenset[str]) -> None:
        """Keep upstreams from requests that do not ask for a reserved one."""
        if names != self._reserved:
            self._reserved_counts.clear()
        self._reserved = names
        for name, model in self._models.items():
            if model.is_reserved != (name in names):
                model.is_reserved = name in names
                self._reindex(model)

    def take_reserved(self, ask: Ask) -> UpstreamModel | None:
        """Take the least loaded reserved upstream for a request, if one has room.

        Equally loaded ones take turns, so that each of them gets requests.
        """
        chosen = min(
            (
                (len(model.in_flight), self._reserved_counts[name], name)
                for name, model in self._models.items()
                if model.is_reserved and model.free_slots and name not in ask.excluded
            ),
            default=None,
        )
        if chosen is None:
            return None
        self._reserved_counts[chosen[-1]] += 1
        return self._models[chosen[-1]]

    @property
    def has_room(self) -> bool:
        """Whether an upstream has room for requests of some kind."""
        return any(free.names for free in self._free_by_class.values())

    def is_open(self, ask_class: AskClass, tier: int) -> bool:
        """Tell whether an upstream has room for requests of a class and tier."""
        free = self._free_by_class[_capacity_class(tier, ask_class.is_long)].names
        closed_count = sum(name in free for name in ask_class.excluded)
        return len(free) > closed_count

    def advance(self, now_ms: float) -> None:
        """Reopen upstreams to long prompts when their pacing pause is over."""
        while (entry := self._paced.peek()) is not None and entry[0] <= now_ms:
            self._paced.pop()
            model = self._models[entry[1]]
            model.paced_until_ms = 0.0
            self._reindex(model)

    def serves(self, excluded: tuple[str, ...]) -> bool:
        """Tell whether there is an upstream that is not excluded, free or not."""
        closed = self._reserved.union(excluded)
        return len(self._models) > sum(name in self._models for name in closed)

    def candidates(self, ask: Ask) -> list[UpstreamModel]:
        """Return the least loaded with room, and those with its prefix cached.

        The least loaded of the requester's zone is among them, unless it is among the
        most loaded of many.
        """
        free = self._free_by_class[_capacity_class(ask.tier, class_of(ask).is_long)]
        found: dict[str, UpstreamModel] = {}
        popped: list[tuple[float, str, int]] = []
        has_near = ask.zone not in self._zones
        while len(found) < CANDIDATE_COUNT or (
            not has_near and len(popped) < NEAR_SEARCH_COUNT
        ):
            entry = free.by_load.pop()
            if entry is None:
                break
            popped.append(entry)
            model = self._models[entry[1]]
            if entry[1] not in ask.excluded and model.has_memory(ask):
                found[entry[1]] = model
                has_near = has_near or model.record.zone == ask.zone
        for entry in popped:
            free.by_load.push(entry)
        for name in self._by_prefix.get(ask.prefix_digest, ()):
            if name not in free.names or name in ask.excluded:
                continue
            if self._models[name].has_memory(ask):
                found[name] = self._models[name]
        return list(found.values())

    def zone_reason(self, model: UpstreamModel, ask: Ask) -> ZoneReason:
        """Return why a request stays in its zone or leaves it for an upstream."""
        if model.record.zone == ask.zone:
            return ZoneReason.OWN_ZONE
        free = self._free_by_class[_capacity_class(ask.tier, class_of(ask).is_long)]
        has_near = any(
            self._models[name].record.zone == ask.zone and name not in ask.excluded
            for name in free.names
        )
        return ZoneReason.SOONER if has_near else ZoneReason.NO_ROOM

    def assign(self, model: UpstreamModel, ask: Ask, vm: str, now_ms: float) -> None:
        """Count a request as in flight at an upstream."""
        name = model.record.name
        self._upstream_of_ask[ask.ask_id] = name
        forgotten = model.assign(ask, vm, now_ms)
        if ask.prefix_digest:
            self._by_prefix.setdefault(ask.prefix_digest, set()).add(name)
        if forgotten is not None:
            names = self._by_prefix.get(forgotten, set())
            names.discard(name)
            if not names:
                self._by_prefix.pop(forgotten, None)
        self._reindex(model)

    def adopt(self, upstream: str, ask_id: str, item: InFlight) -> None:
        """Count a request as in flight that an earlier scheduler permitted."""
        model = self._models.get(upstream) or self._removed.get(upstream)
        if model is not None:
            self._upstream_of_ask[ask_id] = upstream
            model.adopt(ask_id, item)
            self._reindex(model)

    def drop(self, ask_id: str) -> None:
        """Remove a request from those in flight without learning from it."""
        model = self._pop_model_of(ask_id)
        if model is not None:
            model.drop(ask_id)
            self._reindex(model)

    def finish(self, release: Release, now_ms: float) -> None:
        """Remove a request from those in flight and learn from it."""
        model = self._pop_model_of(release.ask_id)
        if model is not None:
            model.finish(release, now_ms)
            self._reindex(model)

    def record_pulse(self, pulse: Pulse) -> None:
        """Learn from the progress report of a running stream."""
        model = self._models.get(pulse.upstream)
        if model is not None:
            model.record_pulse(pulse)

    def remove_requester(self, vm: str) -> list[str]:
        """Remove the requests in flight of a VM, and return their ids."""
        ask_ids = [
            ask_id
            for model in [*self._models.values(), *self._removed.values()]
            for ask_id, item in model.in_flight.items()
            if item.vm == vm
        ]
        for ask_id in ask_ids:
            self.drop(ask_id)
        return ask_ids

    def check_stragglers(self, now_ms: float) -> None:
        """Compare each upstream's speed with its own past and with its peers."""
        self._slot_count = sum(model.slots for model in self if not model.is_reserved)
        if not self._models:
            return
        self._fastest_prefill = min(model.rates.prefill.ms_per_token for model in self)
        self._fastest_decode = min(model.rates.decode.ms_per_token(1) for model in self)
        self._assume_fastest_rates()
        if not self._detects_stragglers:
            return
        for model in self:
            model.check_overdue(now_ms)
        factors = {model: model.slowdown.factor(now_ms) for model in self}
        limit = straggler_limit(factors.values())
        for model, factor in factors.items():
            is_straggler = factor > limit
            if is_straggler != model.is_straggler:
                model.is_straggler = is_straggler
                self._reindex(model)

    def _assume_fastest_rates(self) -> None:
        """Assume the fastest peer's speed for upstreams that have not answered yet.

        Otherwise one whose default rates are worse than its peers' learned ones
        would never be given a request.
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
                self._reindex(model)

    def slot_count(self, excluded: Iterable[str] = ()) -> int:
        """Return how many requests the upstreams may run at once.

        Args:
            excluded: names of upstreams that do not count.
        """
        excluded_count = sum(
            self._models[name].slots for name in excluded if name in self._models
        )
        return self._slot_count - excluded_count

    @property
    def free_slots(self) -> int:
        """How many more requests of the highest tier may be granted."""
        return sum(model.free_slots for model in self if not model.is_reserved)

    def idle_ms(self, ask: Ask) -> float:
        """Estimate the time of a request on the fastest upstream, if it were idle."""
        tokens = max(1, ask.prompt_tokens - PREFIX_TOKENS)
        return tokens * self._fastest_prefill + ask.output_tokens * self._fastest_decode

    def _pop_model_of(self, ask_id: str) -> UpstreamModel | None:
        name = self._upstream_of_ask.pop(ask_id, "")
        return self._models.get(name) or self._removed.get(name)

    def _reindex(self, model: UpstreamModel) -> None:
        """Index an upstream again after its load or room may have changed."""
        name = model.record.name
        model.change_count += 1
        self._unindex(name)
        if name not in self._models:
            return
        if model.paced_until_ms:
            self._paced.push((model.paced_until_ms, name))
        entry = (model.nominal_ms(), name, model.change_count)
        for capacity, free in self._free_by_class.items():
            if capacity.is_long and model.paced_until_ms:
                continue
            if model.has_room(capacity.tier):
                free.names.add(name)
                free.by_load.push(entry)

    def _unindex(self, name: str) -> None:
        for free in self._free_by_class.values():
            free.names.discard(name)

    def _is_pause_current(self, entry: tuple[float, str]) -> bool:
        model = self._models.get(entry[1])
        return model is not None and model.paced_until_ms == entry[0]

    def _is_load_current(self, entry: tuple[float, str, int]) -> bool:
        model = self._models.get(entry[1])
        return model is not None and model.change_count == entry[2]

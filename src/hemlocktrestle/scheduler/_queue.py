"""Queues of the permit requests of a pool, chosen from a registry by name."""

import math
from collections.abc import Callable, Iterator
from typing import NamedTuple, Protocol, TypeVar

from hemlocktrestle.scheduler._heap import LazyHeap
from hemlocktrestle.scheduler._work import COUNTED_SHARE, NO_WORK, Work
from hemlocktrestle.wire import Ask

LONG_PROMPT_TOKENS = 1_024
"""Prompt tokens above which the prefill of a lower tier's request is paced."""


class AskClass(NamedTuple):
    """What decides, with the tier, which upstreams may take a request."""

    excluded: tuple[str, ...]
    is_long: bool


IsOpen = Callable[[AskClass, int], bool]
"""Tells whether an upstream has room for requests of a class and tier."""


class QueuedAsk(NamedTuple):
    """A queued permit request.

    Args:
        ask: the request.
        vm: its requesting VM.
        arrived_ms: when it arrived.
        deadline_ms: when its caller must have the whole answer.
        part_due_ms: when its caller must have the first part.
        work: the work that is left to answer it.
    """

    ask: Ask
    vm: str
    arrived_ms: float
    deadline_ms: float
    part_due_ms: float = math.inf
    work: Work = NO_WORK

    @property
    def stays_ms(self) -> float:
        """How long its caller stays without a first part, from its arrival."""
        return min(self.part_due_ms, self.deadline_ms) - self.arrived_ms

    @property
    def latest_start_ms(self) -> float:
        """When it must start for its answer to be in time."""
        return min(
            self.part_due_ms - self.work.first_ms,
            self.deadline_ms - self.work.total_ms,
        )

    @property
    def give_up_ms(self) -> float:
        """When its answer would come too late, even if much less has to be done."""
        return min(
            self.part_due_ms - COUNTED_SHARE * self.work.first_ms,
            self.deadline_ms - COUNTED_SHARE * self.work.total_ms,
        )


class AskQueue(Protocol):
    """Orders queued permit requests, both for service and for shedding."""

    def __len__(self) -> int:
        """Return the number of queued requests."""
        ...

    def push(self, waiting: QueuedAsk) -> None:
        """Add a request; one with the same id is replaced."""
        ...

    def peek(self, is_open: IsOpen) -> QueuedAsk | None:
        """Return the first request that an upstream has room for, or ``None``."""
        ...

    def in_service_order(self, is_open: IsOpen) -> Iterator[QueuedAsk]:
        """Yield requests that an upstream has room for, in order of service.

        The caller removes what it serves before it continues the iteration.
        """
        ...

    def serve(self, ask_id: str) -> QueuedAsk | None:
        """Remove a request that is served, and return it."""
        ...

    def remove(self, ask_id: str) -> QueuedAsk | None:
        """Remove a request that is not served; ``None`` if it is not queued."""
        ...

    def get(self, ask_id: str) -> QueuedAsk | None:
        """Return a queued request, or ``None``."""
        ...

    def next_to_shed(self) -> QueuedAsk | None:
        """Return the request to shed first, or ``None``."""
        ...

    def queued_asks(self) -> list[QueuedAsk]:
        """Return all queued requests, in no order."""
        ...

    def lowest_tier(self) -> list[QueuedAsk]:
        """Return the queued requests of the lowest tier, in order of service."""
        ...

    def is_lowest_tier(self, tier: int) -> bool:
        """Tell whether no request of a lower tier is queued."""
        ...

    def work_before_ms(self, waiting: QueuedAsk) -> float:
        """Return the sum of the queued work that is served before a request."""
        ...


_QueueType = TypeVar("_QueueType", bound=type)

QUEUES: dict[str, Callable[[], AskQueue]] = {}
"""Queue constructors by the name that settings use."""


def queue(name: str) -> Callable[[_QueueType], _QueueType]:
    """Register a queue under the name that settings use."""

    def register(queue_type: _QueueType) -> _QueueType:
        QUEUES[name] = queue_type
        return queue_type

    return register


def class_of(ask: Ask) -> AskClass:
    """Return the class of a request; the highest tier is never paced."""
    is_long = ask.tier > 0 and ask.prompt_tokens > LONG_PROMPT_TOKENS
    return AskClass(tuple(sorted(set(ask.excluded))), is_long)


class Numbered(NamedTuple):
    """A queued request with its number in order of arrival."""

    number: int
    queued: QueuedAsk


class _IndexedQueue:
    """Base of the queues: requests by id, and hooks that most orders do not need."""

    def __init__(self) -> None:
        self._by_id: dict[str, Numbered] = {}
        self._count = 0

    def __len__(self) -> int:
        return len(self._by_id)

    def get(self, ask_id: str) -> QueuedAsk | None:
        """Return a queued request, or ``None``."""
        entry = self._by_id.get(ask_id)
        return entry.queued if entry is not None else None

    def queued_asks(self) -> list[QueuedAsk]:
        """Return all queued requests, in no order."""
        return [entry.queued for entry in self._by_id.values()]

    def peek(self, is_open: IsOpen) -> QueuedAsk | None:
        """Return the first request that an upstream has room for, or ``None``."""
        raise NotImplementedError

    def in_service_order(self, is_open: IsOpen) -> Iterator[QueuedAsk]:
        """Yield the first request; end when one that was yielded is not removed."""
        while (waiting := self.peek(is_open)) is not None:
            yield waiting
            if waiting.ask.ask_id in self._by_id:
                return

    def serve(self, ask_id: str) -> QueuedAsk | None:
        """Remove a request that is served, and return it."""
        return self.remove(ask_id)

    def remove(self, ask_id: str) -> QueuedAsk | None:
        """Remove a request that is not served; ``None`` if it is not queued."""
        entry = self._by_id.pop(ask_id, None)
        return entry.queued if entry is not None else None

    def lowest_tier(self) -> list[QueuedAsk]:
        """Raise: this order is not used with forecasts."""
        raise NotImplementedError

    def is_lowest_tier(self, tier: int) -> bool:
        """Raise: this order is not used with forecasts."""
        raise NotImplementedError

    def work_before_ms(self, waiting: QueuedAsk) -> float:
        """Raise: this order is not used with forecasts."""
        raise NotImplementedError

    def _number(self, waiting: QueuedAsk) -> int:
        self._count += 1
        self._by_id[waiting.ask.ask_id] = Numbered(self._count, waiting)
        return self._count

    def _is_current(self, ask_id: str, number: int) -> bool:
        entry = self._by_id.get(ask_id)
        return entry is not None and entry.number == number


@queue("fifo")
class FifoQueue(_IndexedQueue):
    """First come, first served, whatever the tier; the newest is shed first."""

    def __init__(self) -> None:
        super().__init__()
        self._oldest_by_class: dict[AskClass, LazyHeap[tuple[int, str]]] = {}
        self._newest: LazyHeap[tuple[int, str]] = LazyHeap(
            lambda entry: self._is_current(entry[1], -entry[0])
        )

    def push(self, waiting: QueuedAsk) -> None:
        """Add a request; one with the same id is replaced."""
        number = self._number(waiting)
        ask = waiting.ask
        heap = self._oldest_by_class.get(class_of(ask))
        if heap is None:
            heap = LazyHeap(lambda entry: self._is_current(entry[1], entry[0]))
            self._oldest_by_class[class_of(ask)] = heap
        heap.push((number, ask.ask_id))
        self._newest.push((-number, ask.ask_id))

    def peek(self, is_open: IsOpen) -> QueuedAsk | None:
        """Return the first request that an upstream has room for, or ``None``."""
        best: tuple[int, str] | None = None
        for ask_class, heap in list(self._oldest_by_class.items()):
            entry = heap.peek()
            if entry is None:
                del self._oldest_by_class[ask_class]
                continue
            tier = self._by_id[entry[1]].queued.ask.tier
            if is_open(ask_class, tier) and (best is None or entry < best):
                best = entry
        return self.get(best[1]) if best is not None else None

    def next_to_shed(self) -> QueuedAsk | None:
        """Return the request to shed first, or ``None``."""
        entry = self._newest.peek()
        return self.get(entry[1]) if entry is not None else None

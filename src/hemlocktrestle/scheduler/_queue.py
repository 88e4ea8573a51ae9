"""Queues of asks in front of one pool, chosen from a registry by name."""

import math
from collections.abc import Callable, Iterator
from typing import NamedTuple, Protocol, TypeVar

from hemlocktrestle.scheduler._heap import LazyHeap
from hemlocktrestle.wire import Ask

LONG_PROMPT_TOKENS = 1_024
"""Prompt tokens above which an ask of a lower tier is paced."""


class AskClass(NamedTuple):
    """What decides which upstreams may take an ask, beside its tier."""

    excluded: tuple[str, ...]
    is_long: bool


IsOpen = Callable[[AskClass, int], bool]
"""Tells whether an upstream has room for asks of a class and tier."""


class QueuedAsk(NamedTuple):
    """An ask that waits: who holds the request, and since when, by when.

    ``aim_at_ms`` is when the first part of the answer is late.
    """

    ask: Ask
    vm: str
    arrived_ms: float
    deadline_ms: float
    objective_at_ms: float = math.inf


class AskQueue(Protocol):
    """An order of service over waiting asks, and an order of shedding."""

    def __len__(self) -> int:
        """Return how many asks wait."""
        ...

    def push(self, waiting: QueuedAsk) -> None:
        """Add an ask; one with the same id is replaced."""
        ...

    def peek(self, is_open: IsOpen) -> QueuedAsk | None:
        """Return the first ask that an upstream has room for, or ``None``."""
        ...

    def order(self, is_open: IsOpen) -> Iterator[QueuedAsk]:
        """Yield asks that an upstream has room for, the first first.

        The caller takes out what it serves before it goes on.
        """
        ...

    def take(self, ask_id: str) -> QueuedAsk | None:
        """Take out an ask that is served."""
        ...

    def remove(self, ask_id: str) -> QueuedAsk | None:
        """Take out an ask that is not served, and return it if it was there."""
        ...

    def get(self, ask_id: str) -> QueuedAsk | None:
        """Return an ask that waits, or ``None``."""
        ...

    def last(self) -> QueuedAsk | None:
        """Return the ask to shed first, or ``None``."""
        ...

    def waiting(self) -> list[QueuedAsk]:
        """Return all that wait, in no order."""
        ...

    def advance(self, now_ms: float) -> None:
        """Take in the time."""
        ...

    def learn(self, route: str, first_ms: float) -> None:
        """Take in the time to the first part of an answer of a route."""
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
    """Return the class of an ask; the highest tier is never paced."""
    is_long = ask.tier > 0 and ask.prompt_tokens > LONG_PROMPT_TOKENS
    return AskClass(tuple(sorted(set(ask.excluded))), is_long)


class Numbered(NamedTuple):
    """A waiting ask with its number in order of arrival."""

    number: int
    waiting: QueuedAsk


class _Present:
    """The asks that wait, by id, and what most orders do not need."""

    def __init__(self) -> None:
        self._present: dict[str, Numbered] = {}
        self._count = 0

    def __len__(self) -> int:
        return len(self._present)

    def get(self, ask_id: str) -> QueuedAsk | None:
        """Return an ask that waits, or ``None``."""
        entry = self._present.get(ask_id)
        return entry.waiting if entry is not None else None

    def waiting(self) -> list[QueuedAsk]:
        """Return all that wait, in no order."""
        return [entry.waiting for entry in self._present.values()]

    def peek(self, is_open: IsOpen) -> QueuedAsk | None:
        """Return the first ask that an upstream has room for, or ``None``."""
        raise NotImplementedError

    def order(self, is_open: IsOpen) -> Iterator[QueuedAsk]:
        """Yield the first ask, until one that was yielded is not taken out."""
        while (waiting := self.peek(is_open)) is not None:
            yield waiting
            if waiting.ask.ask_id in self._present:
                return

    def take(self, ask_id: str) -> QueuedAsk | None:
        """Take out an ask that is served."""
        return self.remove(ask_id)

    def remove(self, ask_id: str) -> QueuedAsk | None:
        """Take out an ask that is not served, and return it if it was there."""
        entry = self._present.pop(ask_id, None)
        return entry.waiting if entry is not None else None

    def advance(self, now_ms: float) -> None:
        """Take in the time, on which the order does not depend."""

    def learn(self, route: str, first_ms: float) -> None:
        """Take in a time on which the order does not depend."""

    def _number(self, waiting: QueuedAsk) -> int:
        self._count += 1
        self._present[waiting.ask.ask_id] = Numbered(self._count, waiting)
        return self._count

    def _is_present(self, ask_id: str, number: int) -> bool:
        entry = self._present.get(ask_id)
        return entry is not None and entry.number == number


@queue("fifo")
class FifoQueue(_Present):
    """First come, first served, whatever the tier; the newest is shed first."""

    def __init__(self) -> None:
        super().__init__()
        self._next: dict[AskClass, LazyHeap[tuple[int, str]]] = {}
        self._newest: LazyHeap[tuple[int, str]] = LazyHeap(
            lambda entry: self._is_present(entry[1], -entry[0])
        )

    def push(self, waiting: QueuedAsk) -> None:
        """Add an ask; one with the same id is replaced."""
        number = self._number(waiting)
        ask = waiting.ask
        heap = self._next.get(class_of(ask))
        if heap is None:
            heap = LazyHeap(lambda entry: self._is_present(entry[1], entry[0]))
            self._next[class_of(ask)] = heap
        heap.push((number, ask.ask_id))
        self._newest.push((-number, ask.ask_id))

    def peek(self, is_open: IsOpen) -> QueuedAsk | None:
        """Return the first ask that an upstream has room for, or ``None``."""
        best: tuple[int, str] | None = None
        for ask_class, heap in list(self._next.items()):
            entry = heap.peek()
            if entry is None:
                del self._next[ask_class]
                continue
            tier = self._present[entry[1]].waiting.ask.tier
            if is_open(ask_class, tier) and (best is None or entry < best):
                best = entry
        return self.get(best[1]) if best is not None else None

    def last(self) -> QueuedAsk | None:
        """Return the ask to shed first, or ``None``."""
        entry = self._newest.peek()
        return self.get(entry[1]) if entry is not None else None

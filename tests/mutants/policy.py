"""Mutants of the scheduler's decisions."""

from hemlocktrestle.errors import ErrorKind
from hemlocktrestle.peers._scheduler_task import SchedulerTask
from hemlocktrestle.scheduler._core import PoolScheduler
from hemlocktrestle.scheduler._fair_queue import TieredFairQueue
from hemlocktrestle.scheduler._queue import IsOpen, QueuedAsk, class_of
from hemlocktrestle.scheduler._upstream_set import UpstreamSet
from hemlocktrestle.wire import Ask, Message, Refusal
from tests.mutants import mutant


@mutant("policy.shed_newest")
def shed_the_newest() -> None:
    """The newest request is shed, whatever its tier."""

    def newest(self: TieredFairQueue) -> QueuedAsk | None:
        return max(self.queued_asks(), key=lambda item: item.arrived_ms, default=None)

    TieredFairQueue.next_to_shed = newest  # type: ignore[method-assign]


@mutant("policy.inbox_refuses")
def refuse_at_the_inbox() -> None:
    """A full inbox refuses every further permit request."""
    original = SchedulerTask.on_message

    def received(self: SchedulerTask, vm: str, message: Message) -> None:
        if len(self._inbox) > 100 and isinstance(message, Ask):
            self._reply(vm, Refusal(message.ask_id, ErrorKind.SHED.value))
            return
        original(self, vm, message)

    SchedulerTask.on_message = received  # type: ignore[method-assign]


@mutant("policy.keep_unservable")
def keep_what_nothing_serves() -> None:
    """Requests stay queued without any upstream, while new ones are refused."""
    original = UpstreamSet.update

    def silent(self: UpstreamSet, records: object) -> bool:
        original(self, records)  # type: ignore[arg-type]
        return False

    UpstreamSet.update = silent  # type: ignore[assignment,method-assign]


@mutant("policy.head_blocks")
def let_the_head_block() -> None:
    """A request whose upstreams are busy blocks all requests behind it."""
    original = TieredFairQueue.peek

    def first(self: TieredFairQueue, is_open: IsOpen) -> QueuedAsk | None:
        head = original(self, lambda ask_class, tier: True)
        is_free = head is not None and is_open(class_of(head.ask), head.ask.tier)
        return head if is_free else None

    TieredFairQueue.peek = first  # type: ignore[method-assign]


@mutant("policy.no_hand_back")
def keep_asks_after_the_role() -> None:
    """A VM that no longer schedules a pool keeps the requests queued there."""

    def keep(self: PoolScheduler, before_ms: float) -> list[object]:
        return []

    PoolScheduler.return_queued = keep  # type: ignore[method-assign,assignment]


@mutant("policy.charge_shed")
def charge_what_is_shed() -> None:
    """A customer is charged for requests that were shed or withdrawn."""
    TieredFairQueue.remove = TieredFairQueue.serve  # type: ignore[method-assign]

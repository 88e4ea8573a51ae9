"""Which queued permit requests of a pool are refused, when, and with what answer."""

from hemlocktrestle.documents import saturated
from hemlocktrestle.errors import ErrorKind
from hemlocktrestle.scheduler._forecast import Forecast, StartForecaster
from hemlocktrestle.scheduler._outgoing import Outgoing
from hemlocktrestle.scheduler._policy import PoolPolicy
from hemlocktrestle.scheduler._queue import AskQueue, QueuedAsk
from hemlocktrestle.scheduler._queue_meter import QueueMeter
from hemlocktrestle.scheduler._standing import StandingQueues, short_wait_ms
from hemlocktrestle.scheduler._upstream_set import UpstreamSet
from hemlocktrestle.wire import Refusal


class Refusals:
    """Refuses the queued requests whose wait serves nobody.

    Args:
        policy: the pool's registered decisions.
        queue: its queue.
        upstreams: its upstreams.
        forecaster: forecasts when queued requests start.
        meter: counts what becomes of requests that waited.
        standing: which tiers' queues stand.
    """

    def __init__(
        self,
        policy: PoolPolicy,
        *,
        queue: AskQueue,
        upstreams: UpstreamSet,
        forecaster: StartForecaster,
        meter: QueueMeter,
        standing: StandingQueues,
    ) -> None:
        self._policy = policy
        self._queue = queue
        self._upstreams = upstreams
        self._forecaster = forecaster
        self._meter = meter
        self._standing = standing

    def shed_last(self, now_ms: float) -> list[Outgoing]:
        """Shed the request that is the first to go, if there is one."""
        waiting = self._queue.next_to_shed()
        if waiting is None:
            return []
        return [self.refuse(waiting, ErrorKind.SHED, now_ms)]

    def on_queued(self, waiting: QueuedAsk, now_ms: float) -> list[Outgoing]:
        """Refuse a request that was just queued if its wait serves nobody.

        While a lower tier is queued, it keeps its place until its time is up.
        """
        if not self._policy.forecasts_starts:
            self._meter.record_queued(waiting, 0.0)
            return self._shed_if_standing(waiting, now_ms)
        before_ms = self._queue.work_before_ms(waiting)
        forecast = self._forecast(waiting, before_ms, now_ms)
        self._meter.record_queued(waiting, forecast.wait_ms)
        if not self._queue.is_lowest_tier(waiting.ask.tier):
            return []
        kind = self._refusal_kind(waiting, forecast, now_ms)
        if kind is None and self._standing.is_long_before(waiting):
            kind = self._shed_kind(waiting, now_ms)
        return [] if kind is None else [self.refuse(waiting, kind, now_ms)]

    def _shed_if_standing(self, waiting: QueuedAsk, now_ms: float) -> list[Outgoing]:
        """Shed a request for one that was queued, if the queue before that stands."""
        if not self._standing.is_long_before(waiting):
            return []
        kind = self._shed_kind(waiting, now_ms)
        return [] if kind is None else self.shed_last(now_ms)

    def refuse_in_vain(self, now_ms: float) -> list[Outgoing]:
        """Refuse the requests whose wait serves nobody, from the lowest tier up."""
        outgoing: list[Outgoing] = []
        is_tier_kept = False
        while not is_tier_kept and (lowest := self._queue.lowest_tier()):
            before_ms = self._queue.work_before_ms(lowest[0])
            for waiting in lowest:
                forecast = self._forecast(waiting, before_ms, now_ms)
                kind = self._refusal_kind(waiting, forecast, now_ms)
                if kind is None:
                    is_tier_kept = True
                    before_ms += waiting.work.total_ms
                else:
                    outgoing.append(self.refuse(waiting, kind, now_ms))
        return outgoing

    def _refusal_kind(
        self, waiting: QueuedAsk, forecast: Forecast, now_ms: float
    ) -> ErrorKind | None:
        """Return why a request would wait in vain, or ``None``.

        It cannot be answered in time, or it lengthens a queue that stands.
        """
        if forecast.is_hopeless:
            return ErrorKind.DEADLINE_UNMEETABLE
        # Whoever gets the next slot may always wait for it.
        if forecast.wait_ms <= max(short_wait_ms(waiting), forecast.slot_ms):
            return None
        return self._shed_kind(waiting, now_ms)

    def _shed_kind(self, waiting: QueuedAsk, now_ms: float) -> ErrorKind | None:
        """Return why a request may not lengthen the queue, or ``None`` if it may."""
        if waiting.ask.tier < self._standing.highest_tier(now_ms):
            return None
        self._standing.record_refused(waiting, now_ms)
        return ErrorKind.SHED

    def _forecast(
        self, waiting: QueuedAsk, before_ms: float, now_ms: float
    ) -> Forecast:
        slot_count = self._upstreams.slot_count(waiting.ask.excluded)
        return self._forecaster.forecast(waiting, before_ms, slot_count, now_ms)

    def refuse(self, waiting: QueuedAsk, kind: ErrorKind, now_ms: float) -> Outgoing:
        """Refuse a queued request; its caller is told when to come back."""
        self._meter.record_refused(waiting)
        if not self._policy.forecasts_starts:
            return self.return_to_requester(waiting, kind)
        ask_id = waiting.ask.ask_id
        before_ms = self._queue.work_before_ms(waiting)
        forecast = self._forecast(waiting, before_ms, now_ms)
        slot_count = self._upstreams.slot_count(waiting.ask.excluded)
        return_ms = self._forecaster.return_ms(
            waiting,
            forecast,
            slot_count,
            now_ms,
            room_ms=self._standing.clears_after_ms(waiting, now_ms),
        )
        self._queue.remove(ask_id)
        refusal = Refusal(ask_id, kind.value, saturated(return_ms))
        return Outgoing(waiting.vm, refusal, forecast)

    def return_to_requester(self, waiting: QueuedAsk, kind: ErrorKind) -> Outgoing:
        """Refuse a queued request for which another scheduler may have room."""
        ask_id = waiting.ask.ask_id
        self._queue.remove(ask_id)
        self._meter.forget(ask_id)
        return Outgoing(waiting.vm, Refusal(ask_id, kind.value))

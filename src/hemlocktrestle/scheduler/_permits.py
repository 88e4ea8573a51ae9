"""Messages of a pool scheduler to requesting VMs."""

from typing import NamedTuple

from hemlocktrestle.scheduler._forecast import Forecast
from hemlocktrestle.scheduler._queue import QueuedAsk
from hemlocktrestle.scheduler._upstream import UpstreamModel
from hemlocktrestle.wire import Message, Permit

PERMIT_VALID_MS = 1_000
"""How long after its grant a permit may be used, in milliseconds."""


class Outgoing(NamedTuple):
    """A message to a requesting VM, and the forecast that it follows from, if any."""

    vm: str
    message: Message
    forecast: Forecast | None = None


def permit_for(
    waiting: QueuedAsk, pool: str, model: UpstreamModel, now_ms: float
) -> Outgoing:
    """Return the permit of a request for an upstream."""
    permit = Permit(
        waiting.ask.ask_id,
        pool,
        model.record.name,
        model.record.address,
        int(now_ms - waiting.arrived_ms),
        PERMIT_VALID_MS,
    )
    return Outgoing(waiting.vm, permit)

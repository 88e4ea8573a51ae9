"""Messages of a pool scheduler to requesting VMs."""

from hemlocktrestle.scheduler._outgoing import Outgoing
from hemlocktrestle.scheduler._queue import QueuedAsk
from hemlocktrestle.scheduler._upstream import UpstreamModel
from hemlocktrestle.wire import Permit

PERMIT_VALID_MS = 1_000
"""How long after its grant a permit may be used, in milliseconds."""


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

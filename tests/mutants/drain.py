"""Mutants of the graceful shutdown."""

import trio

from hemlocktrestle.daemon._drain import Drain, DrainMiddleware
from hemlocktrestle.peers._scheduler_task import SchedulerTask
from tests.mutants import mutant

USUAL_WAIT_S = 3.0


@mutant("drain.asks_kept")
def keep_waiting_asks() -> None:
    """A draining VM does not refuse its queued permit requests."""

    def kept(self: SchedulerTask) -> None:
        return

    SchedulerTask.hand_over = kept  # type: ignore[method-assign]


@mutant("drain.server_cuts")
def cut_after_the_usual_wait() -> None:
    """Running requests are aborted after the server's default time-out."""

    async def cut(self: Drain, app: DrainMiddleware) -> None:
        await trio.sleep(USUAL_WAIT_S)

    Drain.wait_for_requests = cut  # type: ignore[method-assign]

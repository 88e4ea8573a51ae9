"""Mutants of the graceful shutdown."""

import trio

from hemlocktrestle.daemon._drain import Drain, DrainMiddleware
from hemlocktrestle.peers._scheduler_task import SchedulerTask
from tests.mutants import mutant

USUAL_WAIT_S = 3.0


@mutant("drain.asks_kept")
def keep_waiting_asks() -> None:
    """A draining VM does not send waiting asks back."""

    def kept(self: SchedulerTask) -> None:
        return

    SchedulerTask.hand_over = kept  # type: ignore[method-assign]


@mutant("drain.server_cuts")
def cut_after_the_usual_wait() -> None:
    """Requests that run are cut after the server's usual wait."""

    async def cut(self: Drain, app: DrainMiddleware) -> None:
        await trio.sleep(USUAL_WAIT_S)

    Drain.wait_for_requests = cut  # type: ignore[method-assign]

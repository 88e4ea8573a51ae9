"""Mutants of the graceful shutdown."""

import trio

from hemlocktrestle.daemon._drain import ClosingApp, Drain
from hemlocktrestle.peers._keeper_task import KeeperTask
from tests.mutants import mutant

USUAL_WAIT_S = 3.0


@mutant("drain.asks_kept")
def keep_waiting_asks() -> None:
    """A draining VM does not send waiting asks back."""

    def kept(self: KeeperTask) -> None:
        return

    KeeperTask.hand_over = kept  # type: ignore[method-assign]


@mutant("drain.server_cuts")
def cut_after_the_usual_wait() -> None:
    """Requests that run are cut after the server's usual wait."""

    async def cut(self: Drain, app: ClosingApp) -> None:
        await trio.sleep(USUAL_WAIT_S)

    Drain.until_ended = cut  # type: ignore[method-assign]

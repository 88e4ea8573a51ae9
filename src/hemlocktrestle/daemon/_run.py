"""Binds the sockets of a daemon and runs it."""

from contextlib import ExitStack

from hemlocktrestle.daemon._daemon import Daemon
from hemlocktrestle.daemon._listeners import Listeners, bind
from hemlocktrestle.daemon._vm_settings import VmSettings


async def run_daemon(settings: VmSettings) -> None:
    """Run a daemon until a graceful shutdown has finished.

    Args:
        settings: the VM's settings, validated.

    Raises:
        OSError: if an address cannot be bound.
    """
    listen = settings["listen"]
    with ExitStack() as stack:
        listeners = Listeners(
            *(
                stack.enter_context(bind(address))
                for address in (listen["callers"], listen["operators"], listen["peers"])
            )
        )
        await Daemon(settings, listeners, stack).run()

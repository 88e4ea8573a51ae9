"""What a pool's scheduler sends."""

from typing import NamedTuple

from hemlocktrestle.scheduler._forecast import Forecast
from hemlocktrestle.wire import Message


class Outgoing(NamedTuple):
    """A message to a requesting VM, and the forecast that it follows from, if any."""

    vm: str
    message: Message
    forecast: Forecast | None = None

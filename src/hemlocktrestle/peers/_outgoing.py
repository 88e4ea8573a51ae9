"""Encoding of messages for links, without an end of the link for a bad one."""

import logging

from hemlocktrestle.errors import RequestError
from hemlocktrestle.wire import Message, frame_bytes

log = logging.getLogger(__name__)


def frame_or_drop(message: Message, *, peer: str) -> bytes:
    """Return a message's frame; log and drop one that cannot be encoded.

    The peer then lacks one message, as if the link had been full.  An error would
    end the link, or the task that sends to all of them.

    Args:
        message: the message.
        peer: the VM that it is for, for the log; empty for several.

    Returns:
        The frame, empty if the message is dropped.
    """
    try:
        return frame_bytes(message)
    except RequestError as error:
        log.error("message_dropped", extra={"peer": peer, "reason": error.message})
        return b""

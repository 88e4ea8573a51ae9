"""Why a caller's connection is closed before its time."""

from enum import Enum


class CutReason(Enum):
    """Why a connection was closed; the values appear in logs and metrics."""

    SENT_AHEAD = "sent_ahead"
    """More was sent ahead of an answer than a connection may hold."""

    INPUT_MEMORY = "input_memory"
    """No memory was left for what was sent ahead."""

    UNREAD = "unread"
    """The caller did not take in its answer in time."""

    OLDEST_CHECK = "oldest_check"
    """A new connection for health checks or metrics took its place."""

    ROOM = "room"
    """The caller did not take in its answer, and others needed the room."""

    IDLE = "idle"
    """It waited for a request, and others needed the room."""

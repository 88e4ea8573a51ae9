"""Which requests crash the upstreams that run them, and so run no more."""

from hemlocktrestle.quarantine._fingerprint import chat_fingerprint
from hemlocktrestle.quarantine._registry import (
    CRASHES_MAX,
    ENTRIES_MAX,
    QUARANTINE_MS,
    SUSPECT_MS,
    QuarantineEntry,
    QuarantineRegistry,
)

__all__ = [
    "CRASHES_MAX",
    "ENTRIES_MAX",
    "QUARANTINE_MS",
    "SUSPECT_MS",
    "QuarantineEntry",
    "QuarantineRegistry",
    "chat_fingerprint",
]

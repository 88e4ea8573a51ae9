"""Quarantine of requests that crash the upstreams that run them."""

from hemlocktrestle.quarantine._fingerprint import chat_fingerprint
from hemlocktrestle.quarantine._registry import (
    ENTRIES_MAX,
    QUARANTINE_CRASH_COUNT,
    QUARANTINE_MS,
    SUSPICION_MS,
    QuarantineEntry,
    QuarantineRegistry,
)

__all__ = [
    "ENTRIES_MAX",
    "QUARANTINE_CRASH_COUNT",
    "QUARANTINE_MS",
    "SUSPICION_MS",
    "QuarantineEntry",
    "QuarantineRegistry",
    "chat_fingerprint",
]

"""Quarantine of requests that crash the upstreams that run them."""

from hemlocktrestle.quarantine._book import (
    CRASHES_MAX,
    ENTRIES_MAX,
    QUARANTINE_MS,
    SUSPECT_MS,
    Entry,
    QuarantineBook,
)
from hemlocktrestle.quarantine._fingerprint import chat_fingerprint

__all__ = [
    "CRASHES_MAX",
    "ENTRIES_MAX",
    "QUARANTINE_MS",
    "SUSPECT_MS",
    "Entry",
    "QuarantineBook",
    "chat_fingerprint",
]

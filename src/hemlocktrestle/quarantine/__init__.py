"""Quarantine of requests, and of parts of prompts, that crash the upstreams."""

from hemlocktrestle.quarantine._crash_log import CrashLog, CrashReport, upstream_of
from hemlocktrestle.quarantine._fingerprint import chat_fingerprint
from hemlocktrestle.quarantine._part_records import (
    PartChanges,
    PartCrash,
    QuarantinedPart,
)
from hemlocktrestle.quarantine._parts import PartQuarantine
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
    "CrashLog",
    "CrashReport",
    "PartChanges",
    "PartCrash",
    "PartQuarantine",
    "QuarantineEntry",
    "QuarantineRegistry",
    "QuarantinedPart",
    "chat_fingerprint",
    "upstream_of",
]

"""Interfaces to external services, implemented by adapters."""

from hemlocktrestle.ports._platform import PlatformList
from hemlocktrestle.ports._store import (
    Compare,
    KeyValue,
    Put,
    Snapshot,
    Store,
    TxnResult,
    WatchBatch,
)
from hemlocktrestle.ports._upstream import (
    REQUEST_ID_HEADER,
    STREAM_ID_HEADER,
    BeforeWait,
    Headers,
    OnSilence,
    UpstreamAnswer,
    UpstreamCall,
    UpstreamClient,
)

__all__ = [
    "REQUEST_ID_HEADER",
    "STREAM_ID_HEADER",
    "BeforeWait",
    "Compare",
    "Headers",
    "KeyValue",
    "OnSilence",
    "PlatformList",
    "Put",
    "Snapshot",
    "Store",
    "TxnResult",
    "UpstreamAnswer",
    "UpstreamCall",
    "UpstreamClient",
    "WatchBatch",
]

"""Adapter for the users' platform: its formats, header lines and store calls.

All names of the platform's own interfaces stay in this package.
"""

from hemlocktrestle.platform._configuration import decode_configuration
from hemlocktrestle.platform._headers import HeaderCodec
from hemlocktrestle.platform._registrations import decode_registration
from hemlocktrestle.platform._rollouts import (
    ORDERS_PREFIX,
    STATUS_PREFIX,
    decode_order,
    encode_status,
)
from hemlocktrestle.platform._settings import (
    ContractBounds,
    EdgeSettings,
    decode_settings,
    is_edge_settings,
    read_settings,
    settings_path,
)
from hemlocktrestle.platform._store import (
    CONFIGURATION_KEY,
    REGISTRATIONS_PREFIX,
    PlatformStore,
)
from hemlocktrestle.platform._store_records import (
    Item,
    Lease,
    Page,
    RemovedItem,
    StoreError,
    StoreErrorKind,
    WatchResult,
)

__all__ = [
    "CONFIGURATION_KEY",
    "ORDERS_PREFIX",
    "REGISTRATIONS_PREFIX",
    "STATUS_PREFIX",
    "ContractBounds",
    "EdgeSettings",
    "HeaderCodec",
    "Item",
    "Lease",
    "Page",
    "PlatformStore",
    "RemovedItem",
    "StoreError",
    "StoreErrorKind",
    "WatchResult",
    "decode_configuration",
    "decode_order",
    "decode_registration",
    "decode_settings",
    "encode_status",
    "is_edge_settings",
    "read_settings",
    "settings_path",
]

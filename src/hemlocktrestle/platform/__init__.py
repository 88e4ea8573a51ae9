"""Adapter for the users' platform: its formats, header lines and store calls.

All names of the platform's own interfaces stay in this package.
"""

from hemlocktrestle.platform._configuration import decode_configuration
from hemlocktrestle.platform._dialect import Dialect
from hemlocktrestle.platform._registrations import decode_registration
from hemlocktrestle.platform._settings import (
    Bounds,
    EdgeSettings,
    decode_settings,
    is_edge_settings,
    read_settings,
    settings_path,
)
from hemlocktrestle.platform._store import (
    CONFIGURATION_KEY,
    REGISTRATIONS_PREFIX,
    Item,
    Page,
    PlatformStore,
    Removed,
    StoreError,
    StoreErrorKind,
    Watched,
)

__all__ = [
    "CONFIGURATION_KEY",
    "REGISTRATIONS_PREFIX",
    "Bounds",
    "Dialect",
    "EdgeSettings",
    "Item",
    "Page",
    "PlatformStore",
    "Removed",
    "StoreError",
    "StoreErrorKind",
    "Watched",
    "decode_configuration",
    "decode_registration",
    "decode_settings",
    "is_edge_settings",
    "read_settings",
    "settings_path",
]

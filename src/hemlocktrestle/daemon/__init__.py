"""The daemon that runs on each VM: it accepts requests and dispatches them.

The settings tree holds the platform's versioned settings, from the root to each
customer and caller; every daemon keeps a copy of it.
"""

from hemlocktrestle.daemon._run import run_daemon
from hemlocktrestle.daemon._vm_settings import (
    VM_SETTINGS_ADAPTER,
    VmSettings,
    read_vm_settings,
)

__all__ = [
    "VM_SETTINGS_ADAPTER",
    "VmSettings",
    "read_vm_settings",
    "run_daemon",
]

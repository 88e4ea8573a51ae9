"""Sample documents in the platform's formats, which tests modify."""

import copy
import json
from typing import Any

SETTINGS: dict[str, Any] = {
    "nodeName": "vm-1",
    "ipAddr": "127.0.0.1",
    "zone": "z1",
    "region": "north",
    "internalPorts": [7600, 7615],
    "zones": {"z1": "north", "z2": "south"},
    "heartbeatMs": 1200,
    "contracts": ["base", "one that nobody knows"],
    "listen": {"front": "127.0.0.1:8221", "readyAddr": "127.0.0.1:8224"},
    "limits": {
        "cpuShare": 0.5,
        "cores": 2,
        "memoryMb": 300,
        "maxFds": 4200,
        "linkMbps": 1000.0,
    },
    "contractBounds": {
        "contactMs": 4000,
        "drainMs": 2500,
        "graceS": 8,
        "configApplyMs": 2500,
        "budgetRatio": 0.2,
        "budgetWindowS": 10,
        "budgetSlack": 52,
        "quotaWindowS": 8,
        "quotaOver": 0.1,
        "quotaSlack": 140000,
    },
    "platformSettings": {"address": "127.0.0.1:8225", "form": "kv"},
}

CONFIGURATION: dict[str, Any] = {
    "version": 7,
    "routes": [
        {
            "name": "r-stream",
            "host": "Callers.example",
            "prefix": "/advice/",
            "kind": "streaming",
            "timeoutMs": 15000,
            "targetLatencyMs": 400,
            "priority": 1,
            "service": "assistant",
            "attempts": 2,
            "public": False,
            "streamResume": True,
            "targetGapMs": 300,
        },
        {
            "name": "r-log",
            "host": "callers.example",
            "prefix": "/log/",
            "kind": "non_idempotent",
            "timeoutMs": 3000,
            "targetLatencyMs": 400,
            "priority": 2,
            "weightedSplit": [
                {"service": "ledger", "weight": 90},
                {"service": "ledger-2", "weight": 10},
            ],
            "attempts": 1,
            "public": True,
        },
    ],
    "services": [
        {
            "name": "assistant",
            "healthPath": "/health",
            "maxConns": 360,
            "engine": {"slots": 12, "kvCapacityTokens": 734175, "stride": 5},
        },
        {"name": "ledger", "healthPath": "/health", "maxConns": 96},
    ],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    },
    "tenants": [
        {
            "name": "clinics",
            "apiKeys": ["k1", "k2"],
            "priority": 1,
            "unit": "tokens",
            "plainTokens": 200,
            "ratePerS": 140771,
            "burst": 140771,
        }
    ],
}

REGISTRATION: dict[str, Any] = {
    "service": "assistant",
    "address": "10.128.0.9:8080",
    "zone": "z1",
    "version": "v1",
    "slots": 12,
    "state": "ready",
    "coldRemainingMs": 0,
    "born": 1_700_000_000_000,
    "callSeq": 4,
}


def changed(document: dict[str, Any], path: str, value: Any) -> dict[str, Any]:
    """Return a copy with one field set to a value; ``...`` removes the field."""
    found = copy.deepcopy(document)
    inner: Any = found
    *parents, last = path.split(".")
    for name in parents:
        inner = inner[int(name)] if isinstance(inner, list) else inner[name]
    if value is ...:
        del inner[last]
    else:
        inner[last] = value
    return found


def as_bytes(document: dict[str, Any]) -> bytes:
    """Return a document encoded as the store holds it."""
    return json.dumps(document).encode()

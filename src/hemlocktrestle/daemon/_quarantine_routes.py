"""The operators' routes of the quarantine."""

from typing import Any
from urllib.parse import parse_qs

from hemlocktrestle.daemon._crash_monitor import CrashMonitor
from hemlocktrestle.daemon._operators import OperatorsApp, json_answer, route
from hemlocktrestle.entry import CallerRequest
from hemlocktrestle.errors import ErrorKind, RequestError
from hemlocktrestle.quarantine import QuarantineEntry


def _entry_fields(entry: QuarantineEntry) -> dict[str, Any]:
    return {
        "fingerprint": entry.fingerprint,
        "pool": entry.pool,
        "is_quarantined": entry.is_quarantined,
        "upstreams": sorted(entry.upstreams),
        "request_id": entry.request_id,
    }


def _crash_monitor_of(app: OperatorsApp) -> CrashMonitor:
    if app.crash_monitor is None:
        raise RequestError(ErrorKind.UNKNOWN_ROUTE, "no quarantine is kept here")
    return app.crash_monitor


@route("GET", "/ops/quarantine")
def _list(app: OperatorsApp, request: CallerRequest) -> tuple[int, bytes, str]:
    return json_answer(
        {
            "entries": [
                _entry_fields(entry) for entry in _crash_monitor_of(app).entries()
            ]
        }
    )


@route("POST", "/ops/quarantine/lift")
def _lift(app: OperatorsApp, request: CallerRequest) -> tuple[int, bytes, str]:
    query = parse_qs(request.target.partition("?")[2])
    fingerprint = query.get("fingerprint", [""])[0]
    if not fingerprint:
        raise RequestError(ErrorKind.BAD_REQUEST, "fingerprint: is missing")
    return json_answer({"is_lifted": _crash_monitor_of(app).lift(fingerprint)})

"""Adapters: HTTP server and client, store, platform list, TLS, telemetry."""

from hemlocktrestle.adapters._etcd_store import EtcdStore
from hemlocktrestle.adapters._http_client import HttpUpstreamClient
from hemlocktrestle.adapters._http_server import (
    CallersApp,
    Responder,
    read_body,
    serve_http,
    serve_lifespan,
)
from hemlocktrestle.adapters._metrics import Metrics, Sources
from hemlocktrestle.adapters._platform_list import (
    HttpPlatformList,
    listing_from_targets,
)
from hemlocktrestle.adapters._telemetry import (
    FileSpanExporter,
    configure_logs,
    make_tracer,
)
from hemlocktrestle.adapters._tls import TlsContexts, TlsFiles, names_vouched_for

__all__ = [
    "CallersApp",
    "EtcdStore",
    "FileSpanExporter",
    "HttpPlatformList",
    "HttpUpstreamClient",
    "Metrics",
    "Responder",
    "Sources",
    "TlsContexts",
    "TlsFiles",
    "configure_logs",
    "listing_from_targets",
    "make_tracer",
    "names_vouched_for",
    "read_body",
    "serve_http",
    "serve_lifespan",
]

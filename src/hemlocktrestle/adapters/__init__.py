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
from hemlocktrestle.adapters._metrics import GaugeSources, Metrics
from hemlocktrestle.adapters._platform_list import (
    HttpPlatformList,
    listing_from_targets,
)
from hemlocktrestle.adapters._telemetry import (
    FileSpanExporter,
    configure_logs,
    make_tracer,
)
from hemlocktrestle.adapters._tls import TlsContexts, TlsFiles, certificate_names
from hemlocktrestle.relay import bound_header_parsing

# The HTTP libraries of the adapters parse heads with h11, too.
bound_header_parsing()

__all__ = [
    "CallersApp",
    "EtcdStore",
    "FileSpanExporter",
    "GaugeSources",
    "HttpPlatformList",
    "HttpUpstreamClient",
    "Metrics",
    "Responder",
    "TlsContexts",
    "TlsFiles",
    "certificate_names",
    "configure_logs",
    "listing_from_targets",
    "make_tracer",
    "read_body",
    "serve_http",
    "serve_lifespan",
]

"""Logs and traces."""

import json
import logging
import sys
from collections.abc import Sequence
from contextlib import ExitStack
from pathlib import Path
from typing import TextIO

from opentelemetry.exporter.otlp.proto.http.trace_exporter import OTLPSpanExporter
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import (
    BatchSpanProcessor,
    SpanExporter,
    SpanExportResult,
)
from opentelemetry.trace import Tracer
from pythonjsonlogger.json import JsonFormatter

EXPORT_DELAY_MS = 200
"""Longest delay between the end of a span and its export, in milliseconds."""


def configure_logs(level: str, stream: TextIO = sys.stdout) -> None:
    """Log to a stream, as one JSON object per line."""
    handler = logging.StreamHandler(stream)
    handler.setFormatter(
        JsonFormatter(
            "%(levelname)s %(name)s %(message)s",
            rename_fields={"levelname": "level", "message": "event"},
            timestamp=True,
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)


class FileSpanExporter(SpanExporter):
    """Writes each span as one JSON line.

    Args:
        path: the file to append to.
    """

    def __init__(self, path: str) -> None:
        self._stack = ExitStack()
        self._file = Path(path).open("a", encoding="utf-8")  # noqa: SIM115
        self._stack.callback(self._file.close)

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Write spans; called from the span processor's thread."""
        for span in spans:
            self._file.write(json.dumps(_span_fields(span)) + "\n")
        self._file.flush()
        return SpanExportResult.SUCCESS

    def shutdown(self) -> None:
        """Close the file."""
        self._stack.close()


def _span_fields(span: ReadableSpan) -> dict[str, object]:
    context = span.get_span_context()
    start_ns = span.start_time or 0
    return {
        "trace_id": f"{context.trace_id:032x}" if context else "",
        "span_id": f"{context.span_id:016x}" if context else "",
        "parent_id": f"{span.parent.span_id:016x}" if span.parent else "",
        "name": span.name,
        "start_ms": start_ns / 1e6,
        "duration_ms": ((span.end_time or start_ns) - start_ns) / 1e6,
        "attributes": dict(span.attributes or {}),
        "vm": span.resource.attributes.get("service.instance.id", ""),
    }


def make_tracer(
    vm: str, *, trace_file: str, otlp_endpoint: str, stack: ExitStack
) -> Tracer:
    """Return a tracer that exports its spans as the settings say.

    Args:
        vm: name of the VM, an attribute of each span's resource.
        trace_file: path of a file for spans, or empty.
        otlp_endpoint: URL for OTLP over HTTP, or empty.
        stack: shuts the exporters down on exit.
    """
    resource = Resource.create(
        {"service.name": "hemlocktrestle", "service.instance.id": vm}
    )
    provider = TracerProvider(resource=resource, shutdown_on_exit=False)
    exporters: list[SpanExporter] = []
    if trace_file:
        exporters.append(FileSpanExporter(trace_file))
    if otlp_endpoint:
        exporters.append(OTLPSpanExporter(endpoint=otlp_endpoint))
    for exporter in exporters:
        provider.add_span_processor(
            BatchSpanProcessor(exporter, schedule_delay_millis=EXPORT_DELAY_MS)
        )
    stack.callback(provider.shutdown)
    return provider.get_tracer("hemlocktrestle")

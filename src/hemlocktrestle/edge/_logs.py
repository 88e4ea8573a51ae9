"""Structured logs on standard output that never block the process."""

import logging
import os
import sys

from pythonjsonlogger.json import JsonFormatter

LINES_PER_S_MAX = 400
"""Most lines written per second; the rest are dropped, counted and reported."""


class BoundedHandler(logging.Handler):
    """Writes lines to a descriptor without blocking; drops and counts the rest.

    Args:
        descriptor: where lines go; it is made non-blocking.
        lines_per_s_max: most lines written per second; errors are always written.
    """

    def __init__(
        self, descriptor: int, *, lines_per_s_max: int = LINES_PER_S_MAX
    ) -> None:
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._lines_per_s_max = lines_per_s_max
        self._second = 0
        self._line_count = 0
        self._rest = b""
        self.dropped_count = 0
        self._dropped_since = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line, or count it as dropped."""
        second = int(record.created)
        if second != self._second:
            self._second, self._line_count = second, 0
        self._line_count += 1
        if self._line_count > self._lines_per_s_max and record.levelno < logging.ERROR:
            self._drop()
            return
        if self._dropped_since:
            record.dropped_lines = self._dropped_since
        self._write(self.format(record).encode() + b"\n")

    def _write(self, line: bytes) -> None:
        data = self._rest + line
        try:
            written = os.write(self._descriptor, data)
        except OSError:
            # The pipe is full or its reader has closed it.
            self._drop()
            return
        # The rest of a partially written line goes out before the next line.
        self._rest = data[written:]
        self._dropped_since = 0

    def _drop(self) -> None:
        self.dropped_count += 1
        self._dropped_since += 1


def configure_edge_logs(vm: str, *, level: str = "INFO") -> BoundedHandler:
    """Send one JSON object a line for each log event to standard output.

    Args:
        vm: name of the VM, added to each line.
        level: lowest level that is written.

    Returns:
        The handler, which counts the lines that it drops.
    """
    handler = BoundedHandler(sys.stdout.fileno())
    handler.setFormatter(
        JsonFormatter(
            "%(levelname)s %(message)s",
            rename_fields={"levelname": "level", "message": "event"},
            static_fields={"vm": vm},
            timestamp=True,
        )
    )
    # The lines have no ids of processes and threads; finding them costs a system
    # call for each line.
    logging.logProcesses = logging.logThreads = logging.logMultiprocessing = False
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    for noisy in ("httpcore", "h11"):
        logging.getLogger(noisy).setLevel(logging.WARNING)
    return handler

"""Tests of the log handler: bounded rate, whole lines, no blocking."""

import logging
import os
from collections.abc import Iterator
from contextlib import contextmanager

import trio
from testtools import TestCase

from hemlocktrestle.edge._logs import BoundedHandler
from tests.edge.harness import EdgeHarness, answer_ok
from tests.support import TrioTestCase


@contextmanager
def pipe() -> Iterator[tuple[int, int]]:
    """Yield both ends of a pipe."""
    ours, theirs = os.pipe()
    try:
        yield ours, theirs
    finally:
        os.close(ours)
        os.close(theirs)


def record(
    number: int, *, second: int = 100, level: int = logging.INFO
) -> logging.LogRecord:
    """Return a log record created in a given second."""
    made = logging.LogRecord("x", level, "", 0, f"line {number}", None, None)
    made.created = float(second)
    return made


class BoundedHandlerTests(TestCase):
    """Lines beyond the rate, or into a full pipe, are dropped and counted."""

    def emit(self, handler: BoundedHandler, count: int, **fields: int) -> None:
        """Emit some records."""
        for number in range(count):
            handler.emit(record(number, **fields))

    def test_lines_per_second_are_limited(self) -> None:
        """The limit is per second; errors are always written."""
        with pipe() as (ours, theirs):
            handler = BoundedHandler(theirs, lines_per_s_max=5)
            self.emit(handler, 9)
            self.assertEqual(
                (5, 4), (os.read(ours, 9_999).count(b"\n"), handler.dropped_count)
            )
            self.emit(handler, 1, level=logging.ERROR)
            self.emit(handler, 3, second=101)
            self.assertEqual(4, os.read(ours, 9_999).count(b"\n"))

    def test_a_full_pipe_does_not_block(self) -> None:
        """Lines that do not fit in the pipe are dropped, and the others stay whole."""
        with pipe() as (ours, theirs):
            handler = BoundedHandler(theirs, lines_per_s_max=100_000)
            self.emit(handler, 20_000)
            self.assertTrue(handler.dropped_count > 0)
            os.read(ours, 1 << 20)
            self.emit(handler, 3, second=101)
            tail = os.read(ours, 9_999).decode()
            self.assertEqual(["line 0", "line 1", "line 2"], tail.split("\n")[-4:-1])

    def test_a_closed_reader_raises_nothing(self) -> None:
        """If the reader has closed the pipe, lines are dropped without an error."""
        ours, theirs = os.pipe()
        handler = BoundedHandler(theirs)
        os.close(ours)
        self.emit(handler, 3)
        os.close(theirs)
        self.assertEqual(3, handler.dropped_count)


class BlockedOutputTests(TrioTestCase):
    """Requests are served while nobody reads the logs."""

    async def test_a_full_log_pipe_does_not_delay_requests(self) -> None:
        """With a full log pipe, a request is answered without delay."""
        with pipe() as (_, theirs):
            handler = BoundedHandler(theirs, lines_per_s_max=100_000)
            for number in range(20_000):
                handler.emit(record(number))
            logger = logging.getLogger("hemlocktrestle.edge")
            logger.addHandler(handler)
            self.addCleanup(logger.removeHandler, handler)
            logger.setLevel(logging.INFO)
            self.addCleanup(logger.setLevel, logging.NOTSET)
            started_s = trio.current_time()
            reply = await EdgeHarness(self, {"r1": answer_ok}).send()
            self.assertEqual(200, reply.status)
            self.assertTrue(trio.current_time() - started_s < 0.1)

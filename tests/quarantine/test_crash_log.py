"""Tests of telling crashes of an upstream apart."""

from testtools import TestCase

from hemlocktrestle.quarantine._crash_log import (
    CRASHES_PER_UPSTREAM_MAX,
    SAME_CRASH_MS,
    UPSTREAMS_MAX,
    CrashLog,
    CrashReport,
    upstream_of,
)


class CrashLogTests(TestCase):
    """Each crash has one name, however many requests and VMs report it."""

    def test_a_request_sent_after_a_crash_met_another_incarnation(self) -> None:
        """Guards against a replica whose crashes under its id count once."""
        log = CrashLog()
        names = {
            log.identify(CrashReport("u1", at_ms - 50, at_ms))
            for at_ms in range(0, 25_000, 5_000)
        }
        self.assertEqual(5, len(names))
        self.assertEqual({"u1"}, {upstream_of(name) for name in names})

    def test_requests_that_ran_at_the_same_time_met_one_crash(self) -> None:
        """Guards against two VMs that count one crash twice.

        One of them notices it late: its link was slow, or it stood still.
        """
        reports = [
            CrashReport("u1", 900, 1_000),
            CrashReport("u1", 0, 1_020),
            CrashReport("u1", 950, 1_000 + SAME_CRASH_MS),
            CrashReport("u1", 800, 6_000),
        ]
        for first in reports:
            log = CrashLog()
            names = {log.identify(report) for report in [first, *reports]}
            self.assertEqual(1, len(names))

    def test_a_late_report_does_not_hide_the_next_crash(self) -> None:
        """The span of a crash is the one that all its reports have in common."""
        log = CrashLog()
        first = log.identify(CrashReport("u1", 800, 6_000))
        self.assertEqual(first, log.identify(CrashReport("u1", 900, 1_000)))
        self.assertNotEqual(first, log.identify(CrashReport("u1", 4_000, 4_100)))

    def test_upstreams_are_apart_and_bounded(self) -> None:
        """The latest reports are kept."""
        log = CrashLog()
        for number in range(2 * UPSTREAMS_MAX):
            log.identify(CrashReport(f"u{number}", 0, 0))
        for number in range(2 * CRASHES_PER_UPSTREAM_MAX):
            at_ms = number * 2_000.0
            name = log.identify(CrashReport("u0", at_ms, at_ms))
            self.assertEqual(name, log.identify(CrashReport("u0", at_ms, at_ms)))
        self.assertEqual(UPSTREAMS_MAX, len(log._crashes))
        self.assertEqual(CRASHES_PER_UPSTREAM_MAX, len(log._crashes["u0"]))

"""Tests of what is kept, for how long and in which order, without connections."""

from collections.abc import Callable

from testtools import TestCase

from hemlocktrestle.gateway import (
    IdleConnections,
    KeptKey,
    idle_limit_ms,
    kept_per_replica,
)

KEY = KeptKey("ledger", "r1", "10.0.0.1:80", 7)


def usable(found: bool) -> Callable[[KeptKey], bool]:
    """Return a function that tells of every replica whether it takes requests."""
    return lambda key: found


def holding(*names: str, key: KeptKey = KEY) -> IdleConnections[str]:
    """Return connections of these names, of which four may be kept."""
    idle = IdleConnections[str](4)
    for name in names:
        idle.add(key, name, until_ms=100.0, per_replica=3)
    return idle


class LimitTests(TestCase):
    """How long and how many connections are kept."""

    def test_a_replica_that_states_no_time_is_not_kept(self) -> None:
        """It may close after any time, also one that is too short to be stated."""
        self.assertEqual(
            [0.0, 0.0, 500.0, 5_000.0],
            [idle_limit_ms(stated) for stated in (None, 0.0, 1_000.0, 60_000.0)],
        )

    def test_the_vms_share_a_quarter_of_what_a_replica_accepts(self) -> None:
        """Many VMs keep nothing rather than fill a replica; unstated means none."""
        for connections_max, vm_count in ((360, 6), (96, 1), (360, 300), (0, 6)):
            kept = kept_per_replica(connections_max, vm_count)
            self.assertLessEqual(kept * vm_count, connections_max / 4)
        self.assertEqual(15, kept_per_replica(360, 6))
        self.assertEqual(0, kept_per_replica(360, 300))
        self.assertEqual(90, kept_per_replica(360, 0))

    def test_there_is_a_bound_for_each_replica_and_for_all(self) -> None:
        """Guards against idle connections that grow with the load."""
        idle = holding("a", "b", "c", "d")
        self.assertEqual(3, len(idle))
        other = KEY._replace(replica_id="r2")
        added = [
            idle.add(other, name, until_ms=9.0, per_replica=3) for name in ("e", "f")
        ]
        self.assertEqual(([True, False], 4), (added, len(idle)))


class TakeTests(TestCase):
    """Which connection is handed out."""

    def test_the_one_that_was_used_last_is_taken(self) -> None:
        """The others reach their time and are closed."""
        idle = holding("a", "b")
        self.assertEqual(["b", "a", None], [idle.take(KEY, 50.0) for _ in range(3)])
        self.assertEqual(0, len(idle))

    def test_nothing_is_taken_after_its_time(self) -> None:
        """The replica may be closing it."""
        self.assertEqual(None, holding("a").take(KEY, 100.0))

    def test_a_connection_leads_to_one_incarnation_only(self) -> None:
        """Guards against a replica that came back, or another one at its address."""
        idle = holding("a")
        for changed in (
            KEY._replace(born_ms=8),
            KEY._replace(replica_id="r2"),
            KEY._replace(address="10.0.0.2:80"),
            KEY._replace(service="assistant"),
        ):
            self.assertEqual(None, idle.take(changed, 50.0))


class PopTests(TestCase):
    """Which connections are closed."""

    def test_what_cannot_be_used_is_popped(self) -> None:
        """By time, by replica and by what the connection shows."""
        for now_ms, is_usable, quiet, expected in (
            (100.0, True, "ab", ["a", "b"]),
            (50.0, False, "ab", ["a", "b"]),
            (50.0, True, "b", ["a"]),
            (50.0, True, "ab", []),
        ):
            idle = holding("a", "b")
            popped = idle.pop_unusable(
                now_ms,
                is_usable=usable(is_usable),
                is_quiet=frozenset(quiet).__contains__,
            )
            self.assertEqual((expected, 2 - len(expected)), (popped, len(idle)))

    def test_a_replica_that_failed_loses_its_connections(self) -> None:
        """Those to other replicas stay."""
        idle = holding("a")
        idle.add(KEY._replace(replica_id="r2"), "b", until_ms=100.0, per_replica=3)
        self.assertEqual((["a"], ["b"]), (idle.pop_replica("r1"), idle.pop_all()))

"""Tests of how the tool reports daemons that lag behind the store, or lead it."""

from argparse import Namespace
from typing import Any

from hemlocktrestle.cli._context import Context
from hemlocktrestle.cli._propagation import (
    check_store_is_current,
    lagging_lines,
    wait_in_force,
)
from hemlocktrestle.errors import RequestError
from hemlocktrestle.tree import EMPTY_TREE
from tests.support import FakeStore, TrioTestCase


class FakeContext(Context):
    """A context whose daemons are a table: zone, revision and lineage by address."""

    def __init__(self, daemons: dict[str, tuple[str, int, str]]) -> None:
        options = Namespace(
            ca_file="", operators=list(daemons), wait_s=2.0, author="op"
        )
        super().__init__(options, FakeStore(), print)  # type: ignore[arg-type]
        self.daemons = daemons

    async def call_vm(self, address: str, method: str, path: str) -> dict[str, Any]:
        """Return a daemon's status."""
        zone, revision, lineage = self.daemons[address]
        return {"zone": zone, "tree": {"revision": revision, "lineage": lineage}}


class InForceTests(TrioTestCase):
    """Lagging zones are named, and a store that is older is not written to."""

    async def test_zones_that_lag_are_named(self) -> None:
        """Each zone with a lagging daemon gets one line."""
        daemons = {
            "h:1": ("a", 7, "l"),
            "h:2": ("b", 6, "l"),
            "h:3": ("b", 7, "l"),
            "h:4": ("c", 5, "l"),
        }
        lagging = await wait_in_force(FakeContext(daemons), 7)
        self.assertEqual(
            ["not yet in force in zone b: h:2", "not yet in force in zone c: h:4"],
            lagging_lines(lagging),
        )

    async def test_an_older_or_other_store_is_not_written_to(self) -> None:
        """A daemon with a higher revision or another lineage makes the write fail."""
        base = EMPTY_TREE._replace(revision=7, lineage="l")
        for found in (("a", 8, "l"), ("a", 3, "other")):
            try:
                await check_store_is_current(FakeContext({"h:1": found}), base)
            except RequestError as error:
                self.assertIn("settings recover", error.message)
            else:
                self.fail("was written to")
        await check_store_is_current(FakeContext({"h:1": ("a", 7, "l")}), base)
        await check_store_is_current(FakeContext({"h:1": ("a", 0, "")}), base)

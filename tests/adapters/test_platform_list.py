"""Tests of the client of the platform's list."""

from functools import partial
from typing import Any

import trio
from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from hemlocktrestle.adapters import HttpPlatformList, listing_from_targets
from tests.standins.http import serve
from tests.standins.platform_list import PlatformListStandIn

GOOD = {
    "targets": ["10.0.0.1:80"],
    "labels": {
        "role": "upstream",
        "name": "e1",
        "zone": "z",
        "region": "r",
        "state": "live",
        "kind": "engine",
        "pools": "a,b",
    },
}

JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(["targets", "labels", "role", "name", "pools"]), inner
        )
    ),
    max_leaves=8,
)


class ListingFromTargetsTests(TestCase):
    """Invalid entries of the list are skipped, and the valid ones are used."""

    def test_a_broken_entry_leaves_the_others(self) -> None:
        """Invalid entries are left out of the listing."""
        broken: list[Any] = [
            None,
            {},
            {**GOOD, "targets": []},
            {**GOOD, "targets": ["no-port"]},
            {**GOOD, "labels": {**GOOD["labels"], "pools": 7}},  # type: ignore[dict-item]
        ]
        listing = listing_from_targets([*broken, GOOD])
        self.assertEqual(["e1"], [record.name for record in listing.upstreams])
        self.assertEqual(("a", "b"), listing.upstreams[0].pools)

    def test_no_valid_entry_is_no_answer(self) -> None:
        """A list without a single valid entry counts as an outage."""
        cases: list[Any] = [{}, None, "text", [None, 7], [{"labels": {}}]]
        for garbage in cases:
            self.assertRaises(ValueError, listing_from_targets, garbage)

    @given(st.lists(JSON, max_size=4))
    def test_garbage_never_raises_anything_else(self, garbage: list[Any]) -> None:
        """Arbitrary JSON raises nothing but ``ValueError``."""
        try:
            listing_from_targets(garbage)
        except ValueError:
            return


class HttpPlatformListTests(TestCase):
    """The list is fetched over HTTP, and transferred only when it has changed."""

    def test_an_unchanged_list_is_not_sent_again(self) -> None:
        """A second read returns the same listing, and a change is seen at once."""
        standin = PlatformListStandIn()

        async def main() -> None:
            addresses: list[str] = []
            async with trio.open_nursery() as nursery:
                serving = partial(serve, standin.handle, announce=addresses.append)
                nursery.start_soon(serving)
                while not addresses:
                    await trio.sleep(0.001)
                standin.put("e1", GOOD)
                async with HttpPlatformList(addresses[0]) as platform:
                    first = await platform.read()
                    self.assertEqual(first, await platform.read())
                    self.assertEqual(1, standin.unchanged_count)
                    labels = {**GOOD["labels"], "state": "leaving"}  # type: ignore[dict-item]
                    standin.put("e1", {**GOOD, "labels": labels})
                    changed = await platform.read()
                    self.assertTrue(changed.upstreams[0].is_leaving)
                nursery.cancel_scope.cancel()

        trio.run(main)

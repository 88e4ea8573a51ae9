"""Tests of the client of the platform's list."""

from functools import partial
from typing import Any

import httpcore
import trio
from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from hemlocktrestle.adapters import HttpPlatformList, listing_from_targets
from hemlocktrestle.errors import ErrorKind, RequestError
from hemlocktrestle.wire import Hello, decode, encode
from tests.odd_values import NESTING, ODD_ADDRESSES, ODD_BYTES
from tests.standins.http import serve
from tests.standins.platform_list import PlatformListStandIn
from tests.support import TrioTestCase

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

    def test_an_odd_address_or_name_leaves_the_others(self) -> None:
        """Guards against an entry that fails where its address or name is used."""
        odd = [{**GOOD, "targets": [address]} for address in ODD_ADDRESSES]
        for label in ("name", "zone", "region", "pools", "generation"):
            for text in ("\ud800", "x" * 10_000, 10**400):
                labels = {**GOOD["labels"], label: text}  # type: ignore[dict-item]
                odd.append({**GOOD, "labels": labels})
        listing = listing_from_targets([*odd, GOOD])
        self.assertEqual(["e1"], [record.name for record in listing.upstreams])
        found = listing.upstreams[0]
        hello = Hello(1, found.name, found.zone, found.region, "b")
        self.assertEqual(hello, decode(encode(hello)))

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


class _Pool:
    """Answers every request with the same body."""

    def __init__(self, body: bytes) -> None:
        self._body = body

    async def request(self, *args: object, **options: object) -> httpcore.Response:
        response = httpcore.Response(200, content=self._body)
        await response.aread()
        return response


class OddListTests(TrioTestCase):
    """A list that cannot be read counts as an outage of the platform."""

    async def test_odd_bytes_are_an_outage(self) -> None:
        """Guards against a deep list that ends the process which follows it."""
        for data in (*ODD_BYTES, b"[{}" + b',{"labels":' * NESTING):
            platform = HttpPlatformList("10.0.0.1:80")
            self.patch(platform, "_pool", _Pool(data))
            try:
                found = await platform.read()
            except RequestError as error:
                self.assertIs(ErrorKind.STORE_UNAVAILABLE, error.kind)
            else:
                self.assertEqual((b"[]", ((), ())), (data, tuple(found)))


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

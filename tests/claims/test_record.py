"""Tests of the stored form of claims."""

from testtools import TestCase

from hemlocktrestle.claims import claim_from_json
from hemlocktrestle.errors import ErrorKind, RequestError
from tests.odd_values import ODD_BYTES


class OddClaimTests(TestCase):
    """A claim that cannot be read vouches for nothing."""

    def test_odd_bytes_are_not_readable(self) -> None:
        """Guards against a deep record that ends more than its own request."""
        for data in ODD_BYTES:
            try:
                claim_from_json(data)
            except RequestError as error:
                self.assertIs(ErrorKind.KEY_UNVOUCHED, error.kind)
            else:
                self.fail(f"accepted: {data[:20]!r}")

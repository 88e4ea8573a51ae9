"""Tests of the operator's configuration as the platform writes it."""

from testtools import TestCase

from hemlocktrestle.errors import RequestError
from hemlocktrestle.gateway import EngineLimits, RequestKind, Target
from hemlocktrestle.platform import decode_configuration
from tests.platform.documents import CONFIGURATION, as_bytes, changed


def complaint(data: bytes) -> str:
    """Return what is said of a configuration that is not accepted."""
    try:
        decode_configuration(data)
    except RequestError as error:
        return error.message
    return ""


class ConfigurationTests(TestCase):
    """Routes, services, customers and limits under the project's names."""

    def test_an_ordinary_one_is_translated(self) -> None:
        """Each field has the meaning that the platform's pages give it."""
        found = decode_configuration(as_bytes(CONFIGURATION))
        stream = found.route("callers.example", "/advice/1")
        log = found.route("callers.example", "/log/1")
        assert stream is not None and log is not None
        self.assertEqual((7, RequestKind.STREAM), (found.version, stream.kind))
        self.assertTrue(stream.may_retry and not log.may_retry)
        self.assertEqual((Target("ledger", 90), Target("ledger-2", 10)), log.targets)
        self.assertEqual(EngineLimits(12, 5), found.services["assistant"].engine)
        owner = found.customer_of("k2")
        self.assertEqual("clinics", owner.name if owner else "")

    def test_what_is_left_out_has_a_default(self) -> None:
        """A configuration without customers, limits and options is fine."""
        small = {"version": 1, "routes": [CONFIGURATION["routes"][1]]}
        found = decode_configuration(as_bytes(small))
        self.assertEqual({}, found.customers)
        self.assertEqual(16_384, found.limits.header_bytes_max)

    def test_a_wrong_field_is_named(self) -> None:
        """So that the operator finds it."""
        wrong = {
            "version": "seven",
            "routes.0.kind": "sometimes",
            "routes.0.timeoutMs": -5,
            "routes.1.host": ...,
            "tenants.0.name": ...,
        }
        for path, value in wrong.items():
            said = complaint(as_bytes(changed(CONFIGURATION, path, value)))
            self.assertIn(path, said)

    def test_bytes_that_are_no_json_are_told(self) -> None:
        """Nothing else happens."""
        for data in (b"", b"{", b"\xff", b"[]", b"null"):
            self.assertIn("configuration", complaint(data))

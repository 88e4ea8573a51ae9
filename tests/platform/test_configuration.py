"""Tests of decoding the operator's configuration."""

from testtools import TestCase

from hemlocktrestle.errors import RequestError
from hemlocktrestle.gateway import EngineLimits, RequestKind, Target
from hemlocktrestle.platform import decode_configuration
from tests.platform.documents import CONFIGURATION, as_bytes, changed


def error_message(data: bytes) -> str:
    """Return the error message for a configuration, empty if it is valid."""
    try:
        decode_configuration(data)
    except RequestError as error:
        return error.message
    return ""


class ConfigurationTests(TestCase):
    """Routes, services, customers and limits are validated and converted."""

    def test_an_ordinary_configuration_is_converted(self) -> None:
        """Each field is converted with the meaning that the platform defines."""
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

    def test_absent_fields_have_defaults(self) -> None:
        """Customers, limits and options may be absent."""
        small = {"version": 1, "routes": [CONFIGURATION["routes"][1]]}
        found = decode_configuration(as_bytes(small))
        self.assertEqual({}, found.customers)
        self.assertEqual(16_384, found.limits.header_bytes_max)

    def test_a_wrong_field_is_named(self) -> None:
        """The error message contains the path of the invalid field."""
        wrong = {
            "version": "seven",
            "routes.0.kind": "sometimes",
            "routes.0.timeoutMs": -5,
            "routes.1.host": ...,
            "tenants.0.name": ...,
        }
        for path, value in wrong.items():
            said = error_message(as_bytes(changed(CONFIGURATION, path, value)))
            self.assertIn(path, said)

    def test_malformed_json_is_refused(self) -> None:
        """Malformed JSON gives an ordinary error."""
        for data in (b"", b"{", b"\xff", b"[]", b"null"):
            self.assertIn("configuration", error_message(data))

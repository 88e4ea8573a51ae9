"""Tests of decoding the operator's configuration."""

import math
from typing import Any

from hypothesis import given
from testtools import TestCase

from hemlocktrestle.errors import ErrorKind, RequestError
from hemlocktrestle.gateway import EngineLimits, RequestKind, Target, urgency_rank
from hemlocktrestle.platform import decode_configuration
from hemlocktrestle.wire import Ask, Release, decode, encode
from tests.odd_values import JSON_VALUES, ODD_BYTES, ODD_NUMBERS, paths
from tests.platform.documents import CONFIGURATION, as_bytes, changed

EVENTS_MAX = 1_000_000
"""Most events of one stream, as the largest message has to report them."""


def error_message(data: bytes) -> str:
    """Return the error message for a configuration, empty if it is valid."""
    try:
        decode_configuration(data)
    except RequestError as error:
        return error.message
    return ""


class PatienceTests(TestCase):
    """How long callers wait for an event, as the platform states it of streams."""

    def patience_ms(self, **fields: Any) -> float:
        """Return the patience of the callers of a stream's route."""
        first, *others = CONFIGURATION["routes"]
        document = {**CONFIGURATION, "routes": [{**first, **fields}, *others]}
        found = decode_configuration(as_bytes(document)).routes[0]
        return found.patience_ms

    def test_the_longest_of_three_times_counts(self) -> None:
        """Guards against streams that are given up before their callers leave."""
        for objective_ms, gap_ms, patience_ms in (
            (400, None, 2_000),
            (800, None, 3_200),
            (400, 300, 2_400),
        ):
            found = self.patience_ms(
                kind="streaming", targetLatencyMs=objective_ms, targetGapMs=gap_ms
            )
            self.assertEqual(patience_ms, found)

    def test_a_target_that_is_not_stated_adds_nothing(self) -> None:
        """Guards against patience derived from a timeout that stands in for it."""
        found = self.patience_ms(kind="streaming", targetLatencyMs=0, targetGapMs=None)
        self.assertEqual(2_000, found)

    def test_other_callers_wait_until_their_deadline(self) -> None:
        """Guards against a limit on callers that expect no events."""
        self.assertEqual(math.inf, self.patience_ms(kind="idempotent"))


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
        self.assertEqual(
            EngineLimits(12, 5, 734_175), found.services["assistant"].engine
        )
        self.assertEqual(96, found.services["ledger"].connections_max)
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


class OddConfigurationTests(TestCase):
    """Guards against a configuration that is accepted and fails where it is used."""

    def test_odd_bytes_are_refused(self) -> None:
        """Bytes that cannot be read are refused with a reason, however deep."""
        for data in ODD_BYTES:
            self.assertIn("configuration", error_message(data))

    def test_odd_numbers_are_refused(self) -> None:
        """A number that cannot be used is refused, and its field is named."""
        numbers = [
            number
            for number in ODD_NUMBERS
            if number is not None and not isinstance(number, str)
        ]
        for path in (
            "version",
            "routes.0.timeoutMs",
            "routes.0.targetLatencyMs",
            "routes.0.targetGapMs",
            "routes.0.priority",
            "routes.0.attempts",
            "services.0.engine.slots",
            "services.0.engine.stride",
            "services.0.maxConns",
            "limits.maxBodyBytes",
            "limits.headerTimeoutMs",
            "tenants.0.priority",
            "tenants.0.plainTokens",
            "tenants.0.ratePerS",
            "tenants.0.burst",
        ):
            for number in numbers:
                said = error_message(as_bytes(changed(CONFIGURATION, path, number)))
                self.assertIn(path, said, repr(number)[:40])

    def test_large_numbers_are_accepted(self) -> None:
        """The bounds leave room for values that an operator may well state."""
        for path, number in (
            ("version", 2**53),
            ("routes.0.timeoutMs", 86_400_000),
            ("routes.0.priority", 1_000),
            ("routes.0.attempts", 0),
            ("limits.maxBodyBytes", 2**32),
            ("tenants.0.priority", 1_000),
            ("tenants.0.ratePerS", 1e12),
        ):
            said = error_message(as_bytes(changed(CONFIGURATION, path, number)))
            self.assertEqual("", said, path)

    def test_a_name_that_no_header_line_carries_is_refused(self) -> None:
        """A customer's name is sent to replicas in a header line."""
        for name in ("a\nb", "a\0", " a"):
            data = as_bytes(changed(CONFIGURATION, "tenants.0.name", name))
            self.assertIn("tenants.0.name", error_message(data))
        surrogate = as_bytes(changed(CONFIGURATION, "tenants.0.name", "\ud800"))
        self.assertIn("not JSON", error_message(surrogate))

    @given(value=JSON_VALUES)
    def test_any_value_of_any_field_is_converted_or_refused(self, value: Any) -> None:
        """What is accepted can be used in the messages between VMs."""
        for path in paths(CONFIGURATION):
            try:
                found = decode_configuration(
                    as_bytes(changed(CONFIGURATION, path, value))
                )
            except RequestError as error:
                self.assertIs(ErrorKind.SETTINGS_INVALID, error.kind)
                continue
            for route in found.routes:
                for customer in [None, *found.customers.values()]:
                    tokens = customer.default_tokens if customer is not None else 0
                    ask = Ask(
                        "r",
                        route.targets[0].service,
                        customer.name if customer is not None else "",
                        urgency_rank(route, customer),
                        1.0,
                        tokens,
                        1,
                        0,
                        int(route.timeout_ms),
                        aim_ms=int(min(route.patience_ms, route.timeout_ms)),
                        route=route.name,
                        amount=tokens,
                    )
                    self.assertEqual(ask, decode(encode(ask)))
                self.assertTrue(math.isfinite(route.timeout_ms + route.gap_ms))
            for service in found.services.values():
                if service.engine is not None:
                    tokens = EVENTS_MAX * service.engine.tokens_per_event
                    release = Release("r", service.name, "", True, "", 0, 0, 0, tokens)
                    self.assertEqual(release, decode(encode(release)))

"""Tests of decoding replicas' registrations."""

import socket
from typing import Any

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from hemlocktrestle.errors import ErrorKind, RequestError
from hemlocktrestle.platform import decode_registration
from hemlocktrestle.wire import ReplicaNews, decode, encode
from tests.odd_values import (
    JSON_VALUES,
    ODD_BYTES,
    ODD_IP_ADDRESSES,
    ODD_NUMBERS,
    paths,
)
from tests.platform.documents import REGISTRATION, as_bytes, changed


def is_usable(data: bytes, replica_id: str = "i-1") -> bool:
    """Tell whether an entry is valid; a valid one can be sent to other VMs."""
    try:
        record = decode_registration(replica_id, data)
    except RequestError as error:
        assert error.kind is ErrorKind.SETTINGS_INVALID
        return False
    news = ReplicaNews(replica_id, 1, False, *record[1:-1], version=record.version)
    assert decode(encode(news)) == news
    host, _, port = record.address.rpartition(":")
    assert socket.inet_aton(host) and 1 <= int(port) <= 65_535
    return True


class RegistrationTests(TestCase):
    """An entry gives a replica or an error of one kind."""

    def test_an_ordinary_entry_is_converted(self) -> None:
        """Entries of ready and of draining replicas are converted."""
        found = decode_registration("i-1", as_bytes(REGISTRATION))
        self.assertEqual(("i-1", "assistant", "10.128.0.9:8080"), found[:3])
        self.assertEqual((12, False), (found.slots, found.is_draining))
        leaving = as_bytes(changed(REGISTRATION, "state", "draining"))
        self.assertTrue(decode_registration("i-1", leaving).is_draining)

    def test_invalid_fields_are_refused(self) -> None:
        """Missing fields, wrong types and unknown states are refused."""
        wrong = {
            "state": "resting",
            "address": "here",
            "slots": "12",
            "service": ...,
            "zone": None,
        }
        for path, value in wrong.items():
            self.assertFalse(is_usable(as_bytes(changed(REGISTRATION, path, value))))

    @given(data=st.binary(max_size=80))
    def test_arbitrary_bytes_are_refused(self, data: bytes) -> None:
        """Arbitrary bytes are refused without another exception."""
        self.assertFalse(is_usable(data))


class OddEntryTests(TestCase):
    """Guards against entries of other writers that end the process that reads them.

    A deep one raised ``RecursionError``; one with a number beyond a message's field,
    or with a port out of range, was accepted and failed where it was used.
    """

    def test_odd_bytes_are_refused(self) -> None:
        """Bytes that cannot be read are refused with a reason, however deep."""
        for data in ODD_BYTES:
            self.assertFalse(is_usable(data), data[:20])

    def test_odd_addresses_are_refused(self) -> None:
        """Ports and octets out of range, and other digits than ASCII, are refused."""
        for address in ODD_IP_ADDRESSES:
            entry = as_bytes(changed(REGISTRATION, "address", address))
            self.assertFalse(is_usable(entry), repr(address))

    def test_odd_numbers_are_refused(self) -> None:
        """Numbers that no message takes, or that are no numbers, are refused."""
        for name in ("slots", "born"):
            for number in ODD_NUMBERS:
                entry = as_bytes(changed(REGISTRATION, name, number))
                self.assertFalse(is_usable(entry), (name, repr(number)[:40]))
        for number in (10**30, 10**400, float("nan"), float("inf"), "1", None):
            entry = as_bytes(changed(REGISTRATION, "coldRemainingMs", number))
            self.assertFalse(is_usable(entry), repr(number)[:40])

    def test_large_numbers_are_accepted(self) -> None:
        """The bounds leave room for values that replicas may well state."""
        for name, number in (
            ("slots", 1),
            ("slots", 2**31 - 1),
            ("born", 0),
            ("born", 2**53),
            ("coldRemainingMs", 0.5),
            ("coldRemainingMs", -3),
            ("coldRemainingMs", 10**9),
        ):
            entry = as_bytes(changed(REGISTRATION, name, number))
            self.assertTrue(is_usable(entry), (name, number))

    def test_odd_keys_are_refused(self) -> None:
        """An id that no header line can carry names no replica."""
        for replica_id in ("", "a b", "a\n", "a\0", "\x7f", "\u0661", "i" * 300):
            self.assertFalse(is_usable(as_bytes(REGISTRATION), replica_id))

    def test_the_last_of_equal_fields_counts(self) -> None:
        """A field that is named twice has its last value."""
        entry = as_bytes(REGISTRATION)
        self.assertFalse(is_usable(entry[:-1] + b', "slots": -4}'))
        self.assertTrue(is_usable(b'{"slots": -4, ' + entry[1:]))

    @given(value=JSON_VALUES)
    def test_any_value_of_any_field_is_converted_or_refused(self, value: Any) -> None:
        """Any value gives a record that can be used, or the one error."""
        for path in paths(REGISTRATION):
            is_usable(as_bytes(changed(REGISTRATION, path, value)))

"""Tests of replicas' entries."""

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from hemlocktrestle.errors import ErrorKind, RequestError
from hemlocktrestle.platform import decode_registration
from tests.platform.documents import REGISTRATION, as_bytes, changed


def is_usable(data: bytes) -> bool:
    """Tell whether an entry names a replica."""
    try:
        decode_registration("i-1", data)
    except RequestError as error:
        assert error.kind is ErrorKind.SETTINGS_INVALID
        return False
    return True


class RegistrationTests(TestCase):
    """An entry names a replica, or none, and never breaks anything."""

    def test_an_ordinary_entry_is_translated(self) -> None:
        """Also one of a replica that is leaving."""
        found = decode_registration("i-1", as_bytes(REGISTRATION))
        self.assertEqual(("i-1", "assistant", "10.128.0.9:8080"), found[:3])
        self.assertEqual((12, False), (found.slots, found.is_draining))
        leaving = as_bytes(changed(REGISTRATION, "state", "draining"))
        self.assertTrue(decode_registration("i-1", leaving).is_draining)

    def test_fields_of_another_writer_name_no_replica(self) -> None:
        """Missing, of another type, or a state that nobody knows."""
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
    def test_no_bytes_break_the_reader(self, data: bytes) -> None:
        """Garbage names no replica."""
        self.assertFalse(is_usable(data))

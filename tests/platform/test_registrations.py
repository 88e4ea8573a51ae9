"""Tests of decoding replicas' registrations."""

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from hemlocktrestle.errors import ErrorKind, RequestError
from hemlocktrestle.platform import decode_registration
from tests.platform.documents import REGISTRATION, as_bytes, changed


def is_usable(data: bytes) -> bool:
    """Tell whether an entry is valid."""
    try:
        decode_registration("i-1", data)
    except RequestError as error:
        assert error.kind is ErrorKind.SETTINGS_INVALID
        return False
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

"""Tests of the operator's orders and of what it reads about them."""

import json
from typing import Any

from testtools import TestCase

from hemlocktrestle.errors import ErrorKind, RequestError
from hemlocktrestle.platform import decode_order, decode_settings, encode_status
from hemlocktrestle.rollout import ExposureBounds, Order, Phase
from tests.odd_values import ODD_BYTES
from tests.platform.documents import SETTINGS, as_bytes, changed

DOCUMENT = {"service": "huvo11a", "target": "v2", "durationS": 12}

ORDER = Order("huvo11a", "v2", 12_000)


class OrderTests(TestCase):
    """A document gives an order or an error of one kind."""

    def test_an_order_is_converted(self) -> None:
        """Numbers as versions and unknown fields, too."""
        self.assertEqual(ORDER, decode_order(as_bytes(DOCUMENT), source="o"))
        other = {**DOCUMENT, "target": 3, "by": "night shift"}
        self.assertEqual("3", decode_order(as_bytes(other), source="o").target)

    def test_an_order_without_sense_is_refused(self) -> None:
        """The error names the field."""
        values: tuple[Any, ...] = (..., None, {}, -1)
        for field in DOCUMENT:
            for value in values:
                error = self.assertRaises(
                    RequestError,
                    decode_order,
                    as_bytes(changed(DOCUMENT, field, value)),
                    source="o",
                )
                self.assertIs(ErrorKind.SETTINGS_INVALID, error.kind)
                self.assertIn(field, error.message)

    def test_bytes_that_are_no_document_are_refused(self) -> None:
        """With the same kind of error."""
        for data in ODD_BYTES:
            error = self.assertRaises(RequestError, decode_order, data, source="o")
            self.assertIs(ErrorKind.SETTINGS_INVALID, error.kind)


class StatusTests(TestCase):
    """What the operator reads."""

    def test_each_phase_has_a_state(self) -> None:
        """The target is stated, too."""
        states = [json.loads(encode_status(ORDER, phase)) for phase in Phase]
        self.assertEqual(
            {("huvo11a", "v2")}, {(s["service"], s["target"]) for s in states}
        )
        self.assertEqual(
            ["running", "running", "running", "completed", "rolled_back"],
            [found["state"] for found in states],
        )


class ContractTests(TestCase):
    """Orders are in force only where the contract names them."""

    def test_bounds_count_only_with_the_contract(self) -> None:
        """A file may state the bounds of a part that is not in force."""
        bounds = {
            **SETTINGS["contractBounds"],
            "exposeShare": 0.1,
            "exposeSlack": 50,
            "rollbackMs": 4_000,
        }
        document = changed(SETTINGS, "contractBounds", bounds)
        self.assertIsNone(decode_settings(document, source="t").bounds.rollouts)
        document = changed(document, "contracts", ["base", "rollout"])
        found = decode_settings(document, source="t").bounds.rollouts
        self.assertEqual(ExposureBounds(0.1, 50, 4_000), found)

"""Tests of the order of a stream's events across several answers."""

from testtools import TestCase

from hemlocktrestle.gateway import EventSequence, StreamEvent


def events(*ids: str) -> list[StreamEvent]:
    """Return events with these ids; an empty id gives a comment."""
    return [
        StreamEvent(f"id: {name}\ndata: x\n\n".encode() if name else b": x\n\n", name)
        for name in ids
    ]


def taken_ids(sequence: EventSequence, *ids: str) -> list[str]:
    """Return the ids of the events that the sequence takes."""
    return [event.event_id for event in sequence.take(events(*ids))]


class OneAnswerTests(TestCase):
    """Within one answer, ids increase; gaps are the replica's own."""

    def test_ids_increase(self) -> None:
        """Events up to the first one that does not follow are taken."""
        for given, expected in (
            (("1", "2", "3"), ["1", "2", "3"]),
            (("1", "2", "2", "3"), ["1", "2"]),
            (("5", "9", "20", "19"), ["5", "9", "20"]),
            (("9", "10"), ["9", "10"]),
            (("a", "b", "b"), ["a", "b"]),
            (("a", "b", "a"), ["a", "b"]),
            (("1", "", "2"), ["1", "", "2"]),
        ):
            self.assertEqual(expected, taken_ids(EventSequence(), *given))

    def test_ids_of_many_digits_are_compared(self) -> None:
        """Guards against an id that is too long to be converted to a number."""
        long = "9" * 5_000
        self.assertEqual(["1"], taken_ids(EventSequence(long), "1", "1"))
        self.assertEqual([long, "1"], taken_ids(EventSequence("7"), long, "1"))

    def test_an_event_without_an_id_is_not_taken(self) -> None:
        """Text that only looks like an event, such as an error's, is not taken."""
        for data in (b"error: boom\n\n", b"data: x\n\n", b"HTTP/1.1 200 OK\r\n\r\n"):
            self.assertEqual([], EventSequence().take([StreamEvent(data, "")]))


class SeveralAnswersTests(TestCase):
    """The first event of another answer follows the last one of the answer before."""

    def test_a_gap_between_answers_is_a_missing_event(self) -> None:
        """It is refused if the ids had no gap before, and allowed if they had."""
        for before, after, expected in (
            (("1", "2", "3"), ("4", "5"), ["4", "5"]),
            (("1", "2", "3"), ("5", "6"), []),
            (("1", "2", "3"), ("1", "2"), []),
            (("10", "20", "30"), ("40", "50"), ["40", "50"]),
            (("10",), ("20",), ["20"]),
            (("a", "b", "c"), ("d",), ["d"]),
            (("a", "b", "c"), ("a",), []),
        ):
            sequence = EventSequence()
            sequence.take(events(*before))
            sequence.start_answer()
            self.assertEqual(expected, taken_ids(sequence, *after))

    def test_a_callers_resumption_starts_after_its_last_event(self) -> None:
        """Events that the caller named as received are not taken again."""
        for last_id, given, expected in (
            ("3", ("4", "5"), ["4", "5"]),
            ("3", ("3", "4"), []),
            ("3", ("1", "2"), []),
            ("b", ("b",), []),
        ):
            sequence = EventSequence(last_id)
            sequence.start_answer()
            self.assertEqual(expected, taken_ids(sequence, *given))

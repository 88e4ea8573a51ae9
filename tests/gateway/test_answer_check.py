"""Tests of classifying a replica's answer by its head."""

from testtools import TestCase

from hemlocktrestle.gateway import (
    AnswerClass,
    AnswerMetadata,
    ExpectedAnswer,
    classify_answer,
)

SEALED = AnswerMetadata(
    is_sealed=True,
    is_not_executed=False,
    request_id="a1",
    is_encoded=False,
    is_event_stream=False,
)
EVENTS = SEALED._replace(is_event_stream=True)
REFUSAL = SEALED._replace(is_sealed=False, is_not_executed=True)

PLAIN = ExpectedAnswer("a1", is_stream=False, is_begun=False)
STREAM = PLAIN._replace(is_stream=True)
BEGUN = STREAM._replace(is_begun=True)


class ClassifyTests(TestCase):
    """An answer is used only as what its whole head says that it is."""

    def test_each_head_has_one_class(self) -> None:
        """The class depends on status, header lines and what is expected."""
        for status, metadata, expected, answer_class in (
            (200, SEALED, PLAIN, AnswerClass.BUFFERED),
            (200, EVENTS, PLAIN, AnswerClass.BUFFERED),
            (500, SEALED, PLAIN, AnswerClass.BUFFERED),
            (200, EVENTS, STREAM, AnswerClass.STREAM),
            (200, SEALED, STREAM, AnswerClass.BUFFERED),
            (404, EVENTS, STREAM, AnswerClass.BUFFERED),
            (200, EVENTS, BEGUN, AnswerClass.STREAM),
            (200, SEALED, BEGUN, AnswerClass.INVALID),
            (204, EVENTS, BEGUN, AnswerClass.INVALID),
            (500, SEALED, BEGUN, AnswerClass.INVALID),
            (503, REFUSAL, PLAIN, AnswerClass.REFUSAL),
            (421, REFUSAL, BEGUN, AnswerClass.REFUSAL),
            (200, REFUSAL, PLAIN, AnswerClass.INVALID),
            (500, REFUSAL, PLAIN, AnswerClass.INVALID),
        ):
            verdict = classify_answer(status, metadata, expected)
            self.assertEqual(
                answer_class, verdict.answer_class, f"{status} {metadata} {expected}"
            )

    def test_heads_that_contradict_the_request_are_invalid(self) -> None:
        """Foreign, unsealed, encoded and contradictory heads are never used."""
        for status, metadata in (
            (200, SEALED._replace(request_id="a0")),
            (200, SEALED._replace(request_id="")),
            (200, SEALED._replace(request_id="a0, a1")),
            (200, SEALED._replace(is_sealed=False)),
            (200, SEALED._replace(is_encoded=True)),
            (503, REFUSAL._replace(request_id="a0")),
            (503, REFUSAL._replace(request_id="")),
            (503, REFUSAL._replace(is_sealed=True)),
            (503, REFUSAL._replace(is_not_executed=False)),
        ):
            verdict = classify_answer(status, metadata, PLAIN)
            self.assertEqual(AnswerClass.INVALID, verdict.answer_class, str(metadata))
            self.assertNotEqual("", verdict.reason)

    def test_a_request_without_an_id_gets_an_answer_without_one(self) -> None:
        """Replicas echo the id that they got, so there is none to name."""
        nameless = PLAIN._replace(request_id="")
        verdict = classify_answer(400, REFUSAL._replace(request_id=""), nameless)
        self.assertEqual(AnswerClass.REFUSAL, verdict.answer_class)
        verdict = classify_answer(200, SEALED, nameless)
        self.assertEqual(AnswerClass.INVALID, verdict.answer_class)

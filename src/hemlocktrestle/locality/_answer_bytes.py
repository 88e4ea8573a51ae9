"""Sizes of answers, learned by route."""

from hemlocktrestle.latency import Estimates


class AnswerBytes:
    """Bytes of answers for each output token, or each answer that states none."""

    def __init__(self) -> None:
        self._bytes_per_token = Estimates()

    def learn(self, route: str, *, output_tokens: int, answer_bytes: int) -> None:
        """Learn from an answer that was received to its end."""
        self._bytes_per_token.learn(route, answer_bytes / max(1, output_tokens))

    def expect(self, route: str, *, output_tokens: int) -> int:
        """Return the expected bytes of an answer, 0 until one was received."""
        return int(self._bytes_per_token.find(route).mean * max(1, output_tokens))

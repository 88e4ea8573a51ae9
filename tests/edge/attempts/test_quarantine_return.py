"""Tests of when callers whose request crashes replicas may come back."""

from hemlocktrestle.quarantine._registry import QUARANTINE_MS
from tests.edge.callers.test_server import ONCE
from tests.edge.harness import EdgeHarness, close_without_answer
from tests.support import TrioTestCase


class QuarantineReturnTests(TrioTestCase):
    """A refusal for crashes states when such a request is allowed again."""

    async def test_the_caller_is_told_when_the_quarantine_ends(self) -> None:
        """Guards against callers that come back at once, again and again.

        The refusal stated no time.
        """
        scripts = dict.fromkeys(("r1", "r2"), close_without_answer)
        harness = EdgeHarness(self, scripts, found=ONCE)
        for _ in range(2):
            await harness.send(method="POST", body=b"wipe")
        reply = await harness.send(method="POST", body=b"wipe")
        self.assertEqual(503, reply.status)
        self.assertTrue(
            QUARANTINE_MS - 10_000 < reply.retry_after_ms <= QUARANTINE_MS,
            reply.retry_after_ms,
        )

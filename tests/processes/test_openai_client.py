"""Proof that an unmodified OpenAI client works against a daemon."""

import openai
from testtools import TestCase

from tests.cluster import Cluster
from tests.processes._session import MODEL, start_two_zones


class OpenAiClientTests(TestCase):
    """The published client library reads models, whole answers and streams."""

    def setUp(self) -> None:
        super().setUp()
        cluster = Cluster()
        self.addCleanup(cluster.__exit__, None, None, None)
        start_two_zones(cluster)
        address = cluster.relay_addresses["vm-a1-callers"]
        self.client = openai.OpenAI(
            api_key="nurse-token", base_url=f"http://{address}/v1", max_retries=0
        )
        self.addCleanup(self.client.close)

    def test_the_client_lists_models_and_reads_both_forms(self) -> None:
        """Models, a whole answer, a stream and an error come as the client expects."""
        self.assertEqual([MODEL], [model.id for model in self.client.models.list()])
        messages = [{"role": "user", "content": "hello"}]
        whole = self.client.chat.completions.create(
            model=MODEL,
            messages=messages,  # type: ignore[arg-type]
            max_tokens=4,
        )
        words = (whole.choices[0].message.content or "").split()
        self.assertEqual(4, len(words))
        stream = self.client.chat.completions.create(
            model=MODEL,
            messages=messages,  # type: ignore[arg-type]
            max_tokens=6,
            stream=True,
        )
        pieces = [chunk.choices[0].delta.content for chunk in stream]  # type: ignore[union-attr]
        self.assertEqual(6, len(pieces))
        with self.assertRaises(openai.NotFoundError):
            self.client.chat.completions.create(
                model="absent",
                messages=messages,  # type: ignore[arg-type]
            )

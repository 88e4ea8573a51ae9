"""Fingerprints that identify a request when it is sent again."""

import hashlib
import json


def chat_fingerprint(body: bytes) -> str:
    """Return a digest of a chat's model and messages.

    Fields that a caller may vary between attempts, such as a seed or the length of
    the answer, do not count.

    Args:
        body: the validated body of a chat.
    """
    chat = json.loads(body)
    kept = [chat["model"], chat["messages"]]
    text = json.dumps(kept, sort_keys=True, separators=(",", ":"))
    return hashlib.sha256(text.encode()).hexdigest()[:32]

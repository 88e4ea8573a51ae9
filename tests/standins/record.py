"""Event records of a stand-in's process, as JSON lines on its standard output."""

import json
import time


def record(event: str, **fields: object) -> None:
    """Write one record with the time in seconds since the epoch, and flush it.

    The flush keeps the line if the process crashes right after.
    """
    print(json.dumps({"event": event, "at_s": time.time(), **fields}), flush=True)

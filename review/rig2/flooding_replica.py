"""A language model replica whose first answer is a body of line feeds without end."""

import asyncio
import sys

from review.rig2.http import Head, message, read_body
from review.rig2.replica import EngineReplica, chunk

LINE_FEEDS = chunk(b"\n" * 65_536)


class FloodingReplica(EngineReplica):
    """Sends line feeds until the caller closes, once; then it is sound."""

    async def handle(
        self,
        head: Head,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Serve one request."""
        if self.runs:
            return await super().handle(head, reader, writer)
        await read_body(reader, head.headers)
        headers = self.begin(head)
        headers["content-type"] = "text/event-stream"
        headers["transfer-encoding"] = "chunked"
        writer.write(message("HTTP/1.1 200 OK", headers))
        count = 0
        try:
            while True:
                writer.write(LINE_FEEDS)
                await writer.drain()
                count += 1
        finally:
            self.note("replica: flood ends", pieces=count)


def _note(event: str, **fields: object) -> None:
    print(event, *(f"{name}={value}" for name, value in fields.items()), flush=True)


async def _run(host: str, name: str) -> None:
    replica = FloodingReplica(name, "llm", _note)
    await replica.start(host)
    print(replica.address, flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(_run(*sys.argv[1:]))

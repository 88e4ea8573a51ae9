"""The context passed to every command: connections, output and author."""

import argparse
import getpass
import json
import secrets
import ssl
import time
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any

import httpcore

from hemlocktrestle.adapters import EtcdStore
from hemlocktrestle.errors import ErrorKind, RequestError
from hemlocktrestle.treestore import TreeWriter

CALL_TIMEOUT_S = 3.0
"""Timeout for each phase of a call to a daemon, in seconds."""


class Context:
    """Connections and output of one run of the tool.

    Args:
        options: the parsed command line.
        store: the key-value service.
        emit: writes one line of output.
    """

    def __init__(
        self,
        options: argparse.Namespace,
        store: EtcdStore,
        emit: Callable[[str], None],
    ) -> None:
        self.options = options
        self.store = store
        self.author = options.author or getpass.getuser()
        self._emit = emit
        self._tls = None
        if options.ca_file:
            self._tls = ssl.create_default_context(cafile=options.ca_file)
        self._scheme = "https" if self._tls is not None else "http"

    def show(self, value: Any, lines: list[str]) -> None:
        """Print a result as JSON if ``--json`` is given, else as lines.

        Args:
            value: the result, serializable as JSON.
            lines: the result as text.
        """
        if self.options.json:
            self._emit(json.dumps(value, sort_keys=True))
            return
        for line in lines:
            self._emit(line)

    def writer(self) -> TreeWriter:
        """Return a writer of the settings tree."""
        return TreeWriter(
            self.store,
            new_id=partial(secrets.token_hex, 8),
            wall_ms=lambda: time.time_ns() // 1_000_000,
        )

    async def call_vm(self, address: str, method: str, path: str) -> dict[str, Any]:
        """Call the operators' listener of a daemon, and return its JSON answer.

        Raises:
            RequestError: ``STORE_UNAVAILABLE`` if it gave no valid answer, or the
                kind of the error that it answered with.
        """
        token = Path(self.options.token_file).read_text(encoding="utf-8").strip()
        timeouts = dict.fromkeys(("connect", "pool", "write", "read"), CALL_TIMEOUT_S)
        try:
            async with httpcore.AsyncConnectionPool(
                retries=0, ssl_context=self._tls
            ) as pool:
                response = await pool.request(
                    method,
                    f"{self._scheme}://{address}{path}",
                    headers={"authorization": f"Bearer {token}"},
                    extensions={"timeout": timeouts},
                )
            answer = json.loads(response.content)
        except (
            httpcore.NetworkError,
            httpcore.TimeoutException,
            httpcore.ProtocolError,
            ValueError,
        ) as error:
            raise RequestError(
                ErrorKind.STORE_UNAVAILABLE, f"{address}: daemon gave no answer"
            ) from error
        if "error" in answer:
            kind = ErrorKind(answer["error"]["kind"])
            raise RequestError(kind, f"{address}: {answer['error']['message']}")
        result: dict[str, Any] = answer
        return result

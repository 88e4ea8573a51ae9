"""Tests of what a VM reports to the scheduler that granted a permit."""

from typing import Any

import trio

from hemlocktrestle.edge import _attempt
from hemlocktrestle.edge._attempt import Attempt
from hemlocktrestle.edge._permit_placer import FAILURE_BY_END
from hemlocktrestle.edge._placement import Placement
from hemlocktrestle.edge._progress import RequestProgress
from hemlocktrestle.errors import ErrorKind, RequestError
from hemlocktrestle.relay import ConnectTimeoutError
from tests.support import TrioTestCase

PLACEMENT = Placement("p1", "i-1", "10.0.0.9:80", "vm-2", 0.0)


class ConnectFailureTests(TrioTestCase):
    """The scheduler is told whether a replica refused, or nothing was heard."""

    async def _failure_after(self, error: RequestError) -> str:
        """Return the failure that is reported after a connect failed."""

        async def open_connection(address: str) -> trio.abc.Stream:
            raise error

        self.patch(_attempt, "open_connection", open_connection)
        unused: Any = None
        attempt = Attempt(
            unused,
            unused,
            PLACEMENT,
            unused,
            RequestProgress(),
            on_speed=unused,
            successors=unused,
        )
        report = await attempt.run()
        return FAILURE_BY_END[report.end]

    async def test_a_connect_timeout_is_not_reported_as_a_refusal(self) -> None:
        """Guards against replicas taken from all VMs because one VM's link is full."""
        error = ConnectTimeoutError(ErrorKind.UPSTREAM_UNREACHABLE, "no reply")
        failure = await self._failure_after(error)
        self.assertEqual(ErrorKind.UPSTREAM_SILENT.value, failure)

    async def test_a_refused_connect_is(self) -> None:
        """Nothing listens there, whoever tries."""
        error = RequestError(ErrorKind.UPSTREAM_UNREACHABLE, "nobody there")
        failure = await self._failure_after(error)
        self.assertEqual(ErrorKind.UPSTREAM_REFUSED.value, failure)

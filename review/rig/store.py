"""A stand-in for the platform's store whose leases end on time."""

from typing import Any

import trio

from tests.standins.http import Request
from tests.standins.platform_store import PlatformStoreStandIn

EXPIRY_CHECK_S = 0.1


class Store(PlatformStoreStandIn):
    """The project's stand-in, with leases that end when they are not renewed."""

    def __init__(self) -> None:
        super().__init__()
        self._ttl_s: dict[int, float] = {}
        self._ends_s: dict[int, float] = {}

    async def expire_leases(self) -> None:
        """End the leases that were not renewed, until cancelled."""
        while True:
            await trio.sleep(EXPIRY_CHECK_S)
            now_s = trio.current_time()
            for lease, end_s in list(self._ends_s.items()):
                if end_s <= now_s:
                    del self._ends_s[lease]
                    self.end_lease(lease)

    async def _kv_lease(
        self, query: dict[str, str], request: Request, rest: list[str]
    ) -> tuple[int, Any]:
        status, answer = await super()._kv_lease(query, request, rest)
        lease = answer["lease"]
        self._ttl_s[lease] = request.json()["ttlMs"] / 1000
        self._ends_s[lease] = trio.current_time() + self._ttl_s[lease]
        return status, answer

    async def _kv_keep(
        self, query: dict[str, str], request: Request, rest: list[str]
    ) -> tuple[int, Any]:
        lease = int(rest[0])
        if lease not in self.leases:
            return 404, {}
        self._ends_s[lease] = trio.current_time() + self._ttl_s[lease]
        return 200, {"ttlMs": int(self._ttl_s[lease] * 1000)}

"""The platform's list of VMs and upstreams."""

from typing import Protocol

from hemlocktrestle.membership import Listing


class PlatformList(Protocol):
    """A client of the platform's list, which lags behind the actual state."""

    async def read(self) -> Listing:
        """Return the current list.

        Raises:
            RequestError: of kind ``STORE_UNAVAILABLE`` if there is no valid answer.
        """
        ...

"""The platform's list, in the format of Prometheus's HTTP service discovery."""

import logging
from typing import Annotated, Any, Literal, NotRequired

import httpcore
from pydantic import Field, TypeAdapter, ValidationError
from typing_extensions import TypedDict

from hemlocktrestle.adapters._pooled import EXCHANGE_FAILURES, PooledClient
from hemlocktrestle.documents import HostAddress, Name, Text, parse_json
from hemlocktrestle.errors import ErrorKind, RequestError
from hemlocktrestle.membership import (
    Listing,
    UpstreamKind,
    UpstreamRecord,
    VmRecord,
)

log = logging.getLogger(__name__)

IO_TIMEOUT_S = 2.0
"""Timeout of the connect, and of each read and write of a call, in seconds."""

_FAILURES = (*EXCHANGE_FAILURES, ValueError)


class HttpPlatformList(PooledClient):
    """A client of the platform's list.

    Use as an asynchronous context manager, which closes its connections.

    Args:
        address: host and port of the list's service.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._listing: Listing | None = None
        self._etag = b""
        super().__init__(
            httpcore.AsyncConnectionPool(
                max_connections=2, keepalive_expiry=5.0, retries=0
            )
        )

    async def read(self) -> Listing:
        """Return the current list; see the port.

        If the service sends an ``ETag``, later requests carry ``If-None-Match``, so
        that an unchanged list is not transferred again.
        """
        timeouts = dict.fromkeys(("connect", "pool", "write", "read"), IO_TIMEOUT_S)
        try:
            response = await self._pool.request(
                "GET",
                f"http://{self._address}/targets",
                headers=[("if-none-match", self._etag)] if self._etag else [],
                extensions={"timeout": timeouts},
            )
            if response.status == 304 and self._listing is not None:
                return self._listing
            if response.status != 200:
                raise ValueError("status is not 200")
            groups = parse_json(
                response.content,
                source="platform list",
                kind=ErrorKind.STORE_UNAVAILABLE,
            )
            listing = listing_from_targets(groups)
        except _FAILURES as error:
            raise RequestError(
                ErrorKind.STORE_UNAVAILABLE, "platform list gave no answer"
            ) from error
        self._listing = listing
        self._etag = _header(response, b"etag")
        return listing


def _header(response: httpcore.Response, wanted: bytes) -> bytes:
    for name, value in response.headers:
        if name.lower() == wanted:
            return value
    return b""


def listing_from_targets(groups: Any) -> Listing:
    """Convert target groups to a listing.

    An invalid group is logged and skipped.

    Args:
        groups: target groups; labels ``role``, ``name``, ``zone``, ``region`` and
            ``state``, for upstreams also ``kind``, ``pools`` and ``generation``.

    Returns:
        The listing.

    Raises:
        ValueError: if ``groups`` is not a list, or all of its groups are invalid.
    """
    if not isinstance(groups, list):
        raise ValueError("answer is no list")
    vms: list[VmRecord] = []
    upstreams: list[UpstreamRecord] = []
    for group in groups:
        try:
            record = _record(_GROUP_ADAPTER.validate_python(group))
        except ValidationError as error:
            log.warning("list_entry_unreadable", extra={"reason": _reason(error)})
            continue
        if isinstance(record, VmRecord):
            vms.append(record)
        else:
            upstreams.append(record)
    if groups and not vms and not upstreams:
        raise ValueError("no entry can be read")
    return Listing(tuple(vms), tuple(upstreams))


class _Labels(TypedDict):
    role: Literal["vm", "upstream"]
    name: Name
    zone: Text
    region: Text
    state: Text
    kind: NotRequired[UpstreamKind]
    pools: NotRequired[Text]
    generation: NotRequired[Text]


class _Group(TypedDict):
    targets: Annotated[list[HostAddress], Field(min_length=1)]
    labels: _Labels


_GROUP_ADAPTER: TypeAdapter[_Group] = TypeAdapter(_Group)


def _record(group: _Group) -> VmRecord | UpstreamRecord:
    labels = group["labels"]
    common = (labels["name"], labels["zone"], labels["region"], group["targets"][0])
    is_leaving = labels["state"] == "leaving"
    if labels["role"] == "vm":
        return VmRecord(*common, is_leaving)
    return UpstreamRecord(
        *common,
        labels.get("kind", "engine"),
        tuple(pool for pool in labels.get("pools", "").split(",") if pool),
        labels.get("generation", ""),
        is_leaving,
    )


def _reason(error: ValidationError) -> str:
    return "; ".join(
        f"{'.'.join(str(part) for part in problem['loc'])}: {problem['msg']}"
        for problem in error.errors()
    )

"""Forms of the answers of the platform's store."""

import base64
import logging
from collections.abc import Iterable
from typing import Any, NamedTuple, NotRequired, TypeVar

from pydantic import TypeAdapter
from typing_extensions import TypedDict

from hemlocktrestle.documents import Revision, Text, check
from hemlocktrestle.errors import RequestError
from hemlocktrestle.gateway import StoreRevision
from hemlocktrestle.platform._store_records import (
    Item,
    RemovedItem,
    StoreError,
    StoreErrorKind,
)

log = logging.getLogger(__name__)

ERA_HEADER = b"store-era"
"""Header line with the number of the store's restores, in each of its answers."""


ERA_DIGITS_MAX = 18
"""Most digits of an era, which VMs send each other in 64 bits."""


class StoreAnswer(NamedTuple):
    """An answer of the store: status, era and the document in its body."""

    status: int
    era: int
    raw: Any


class Head(TypedDict):
    currentRev: NotRequired[Revision]


class PageAnswer(TypedDict):
    items: list[Any]
    currentRev: Revision
    hasMore: NotRequired[bool | None]


class Changes(TypedDict):
    events: list[Any]
    currentRev: Revision


class Written(TypedDict):
    revision: Revision


class LeaseAnswer(TypedDict):
    lease: Revision


class Change(TypedDict):
    key: Text
    revision: Revision
    value: NotRequired[Any]
    tombstone: NotRequired[bool | None]


_Answer = TypeVar("_Answer")

HEAD: TypeAdapter[Head] = TypeAdapter(Head)
PAGE: TypeAdapter[PageAnswer] = TypeAdapter(PageAnswer)
CHANGES: TypeAdapter[Changes] = TypeAdapter(Changes)
WRITTEN: TypeAdapter[Written] = TypeAdapter(Written)
LEASE: TypeAdapter[LeaseAnswer] = TypeAdapter(LeaseAnswer)
CHANGE: TypeAdapter[Change] = TypeAdapter(Change)


def checked(adapter: TypeAdapter[_Answer], raw: Any, call: str) -> _Answer:
    """Return an answer of the store with its type checked.

    Raises:
        StoreError: of kind ``MALFORMED``; the message names the field.
    """
    try:
        return check(adapter, raw, source=call)
    except RequestError as error:
        raise StoreError(StoreErrorKind.MALFORMED, error.message) from error


def changes(raws: list[Any], era: int) -> list[Item | RemovedItem]:
    """Return the items that can be read, in their order; log the others."""
    found = []
    for raw in raws:
        try:
            found.append(item_of(check(CHANGE, raw, source="item"), era))
        except RequestError as error:
            log.warning("store_item_unreadable", extra={"reason": error.message})
    return found


def item_of(raw: Change, era: int) -> Item | RemovedItem:
    """Return an item, or its removal.

    A value that is not base64 counts as empty, which is no document of any kind:
    whoever reads the item refuses its latest value and does not keep an earlier one.
    """
    revision = StoreRevision(era, raw["revision"])
    if raw.get("tombstone"):
        return RemovedItem(raw["key"], revision)
    try:
        value = base64.b64decode(raw.get("value", ""))
    except (ValueError, TypeError) as error:
        log.warning(
            "store_value_unreadable", extra={"key": raw["key"], "reason": str(error)}
        )
        value = b""
    return Item(raw["key"], value, revision)


def era_of(headers: Iterable[tuple[bytes, bytes]], call: str) -> int:
    """Return the era that an answer states, 0 if it states none.

    Raises:
        StoreError: of kind ``MALFORMED`` if it is not a number.
    """
    for name, value in headers:
        if name.lower() == ERA_HEADER:
            text = value.decode("ascii", errors="replace")
            if not text.isdecimal() or len(text) > ERA_DIGITS_MAX:
                raise StoreError(StoreErrorKind.MALFORMED, f"{call}: era {text[:40]!r}")
            return int(text)
    return 0

"""Measurements of the settings tree and of claims: memory, time, store calls."""

import base64
import json
from collections.abc import Callable, Iterator
from functools import partial
from itertools import count
from typing import Any

import trio
from trio.testing import MockClock

from bench.capacity._slopes import (
    Point,
    Slope,
    cpu_point,
    held_bytes,
    measurement,
    point,
)
from hemlocktrestle.claims import ClaimRegistry, OpenClaim, RecordedAnswer
from hemlocktrestle.ports import KeyValue
from hemlocktrestle.tree import (
    EMPTY_TREE,
    Change,
    TreeState,
    apply_change,
    change_from_json,
    change_to_json,
    token_digest,
    with_documents,
)
from hemlocktrestle.treestore import DOCUMENTS_PREFIX, HEAD_KEY, document_key
from tests.support import FakeStore

SIZES = (1_000, 5_000, 19_000)
"""Numbers of customers in the tree."""

CALLERS_PER_CUSTOMER = 2


def customer_document(number: int) -> dict[str, Any]:
    """Return a customer's document, with callers of two tiers and their tokens."""
    names = [f"caller-{index}" for index in range(CALLERS_PER_CUSTOMER)]
    tiers = ("high", "normal")
    return {
        "rules": {"weight": 2.0, "rate_per_s": 20.0},
        "services": {
            "chat": {
                "callers": {
                    name: {"rules": {"tier": tiers[index % 2]}}
                    for index, name in enumerate(names)
                }
            }
        },
        "tokens": {
            token_digest(f"{number}/{name}"): {"caller": name} for name in names
        },
    }


def documents(customers: int) -> dict[str, Any]:
    """Return the documents of a tree with some number of customers."""
    found = {
        f"customers/customer-{number:05d}": customer_document(number)
        for number in range(customers)
    }
    return {"root": {"services": {"ledger": {"is_repeatable": False}}}, **found}


def tree(customers: int) -> TreeState:
    """Return a tree with some number of customers."""
    return with_documents(EMPTY_TREE, documents(customers), revision=1, lineage="line")


def one_change(revision: int, changed: int = 1) -> Change:
    """Return a change that replaces the documents of ``changed`` customers."""
    return Change(
        revision,
        "line",
        "c" * 32,
        "operator",
        1_700_000_000_000,
        "set /customer-00000 weight 3.0",
        {
            f"customers/customer-{number:05d}": customer_document(number)
            for number in range(changed)
        },
    )


@measurement("settings")
def settings() -> Iterator[Slope]:
    """Memory of the tree, and the cost of applying a change and of loading at boot."""
    states = {size: tree(size) for size in SIZES}

    def apply(size: int) -> Callable[[], TreeState]:
        text = change_to_json(one_change(2))
        return lambda: apply_change(states[size], change_from_json(text))

    yield Slope(
        "taking in a change of one customer",
        "customers",
        "us",
        tuple(cpu_point(size, partial(apply, size)) for size in SIZES),
    )
    yield Slope(
        "tree in memory",
        "customers",
        "bytes",
        tuple(
            point(size, [held_bytes(partial(_build_tree, _items(size)))])
            for size in SIZES
        ),
    )
    yield Slope(
        "tree in the store",
        "customers",
        "bytes",
        tuple(_exact(size, sum(len(i.value) for i in _items(size))) for size in SIZES),
    )
    yield Slope(
        "boot: building the tree from the store's keys",
        "customers",
        "us",
        tuple(cpu_point(size, partial(_boot, size)) for size in SIZES),
    )
    changed = (1, 10, 100)
    yield Slope(
        "change on a watch",
        "documents changed",
        "bytes",
        tuple(_exact(n, _watch_bytes(one_change(2, n))) for n in changed),
    )


def _exact(size: int, value: float) -> Point:
    return Point(size, value, value, value)


def _items(customers: int) -> list[KeyValue]:
    head = json.dumps({"revision": 1, "lineage": "line", "change_id": "c"}).encode()
    return [
        KeyValue(HEAD_KEY, head, 1),
        *(
            KeyValue(document_key(name), json.dumps(value).encode(), 1)
            for name, value in documents(customers).items()
        ),
    ]


def _boot(customers: int) -> Callable[[], TreeState]:
    return partial(_build_tree, _items(customers))


def _build_tree(items: list[KeyValue]) -> TreeState:
    """Build the tree from documents read from the store."""
    read = {
        item.key.removeprefix(DOCUMENTS_PREFIX): json.loads(item.value)
        for item in items
        if item.key.startswith(DOCUMENTS_PREFIX)
    }
    return with_documents(EMPTY_TREE, read, revision=1, lineage="line")


def _watch_bytes(change: Change) -> int:
    value = base64.b64encode(change_to_json(change).encode()).decode()
    event = {"kv": {"key": "k" * 60, "value": value, "mod_revision": "4200"}}
    return len(json.dumps({"result": {"events": [event], "header": {"revision": "1"}}}))


@measurement("claims")
def claims() -> Iterator[Slope]:
    """Store calls and processor time of claims that are opened and finished."""
    sizes = (100, 200, 400)
    calls: dict[int, int] = {}

    def prepare(number: int) -> Callable[[], None]:
        store = FakeStore()

        def run() -> None:
            trio.run(_claim_all, store, number, clock=MockClock(autojump_threshold=0))
            calls[number] = len(store.calls)

        return run

    points = tuple(cpu_point(size, partial(prepare, size)) for size in sizes)
    yield Slope("claim opened and finished", "keyed calls", "us", points)
    yield Slope(
        "claim opened and finished",
        "keyed calls",
        "store calls",
        tuple(_exact(size, calls[size]) for size in sizes),
    )


async def _claim_all(store: FakeStore, number: int) -> None:
    ids = count()
    registry = ClaimRegistry(
        store, writer="vm/boot", new_id=lambda: f"{next(ids):032x}", wall_ms=lambda: 0
    )
    for index in range(number):
        open_claim = await registry.open(
            "customer",
            f"key-{index}",
            fingerprint="f" * 64,
            request_id="r",
            run_ms=30_000,
        )
        assert isinstance(open_claim, OpenClaim)
        await registry.finish(
            open_claim, RecordedAnswer(201, (), b'{"effect_count": 1}')
        )

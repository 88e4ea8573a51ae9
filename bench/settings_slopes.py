"""Measures the cost of the settings tree at three sizes; run as a module."""

import time
import tracemalloc
from collections.abc import Callable
from typing import NamedTuple

from hemlocktrestle.tree import (
    EMPTY_TREE,
    Change,
    TreeLog,
    TreePull,
    TreeState,
    change_to_json,
    token_digest,
    with_documents,
)

SIZES = (1_900, 19_000, 57_000)
"""Numbers of customers in the tree."""

CHANGES = 200


class Row(NamedTuple):
    """The measurements at one size."""

    customers: int
    change_us: float
    change_bytes: int
    page_ms_max: float
    taking_ms: float
    page_count: int
    snapshot_bytes: int
    memory_bytes: int


def customer(index: int, weight: float) -> dict[str, object]:
    """Return the document of one customer with a service, a caller and a token."""
    caller = f"caller-{index}"
    return {
        "rules": {"weight": weight, "tier": "normal"},
        "services": {"chat": {"callers": {caller: {"rules": {"tier": "high"}}}}},
        "tokens": {token_digest(f"token-{index}"): {"caller": caller}},
    }


def cpu_seconds(work: Callable[[], None]) -> float:
    """Return the processor time of a piece of work, in seconds."""
    started = time.process_time()
    work()
    return time.process_time() - started


def measure(count: int) -> Row:
    """Measure at one size."""
    tracemalloc.start()
    documents = {f"customers/c{index}": customer(index, 1.0) for index in range(count)}
    state = with_documents(EMPTY_TREE, documents, revision=1, lineage="l")
    del documents
    memory_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    log = TreeLog()
    log.replace(state)
    changes = [
        Change(
            2 + number,
            "l",
            f"id{number}",
            "op",
            0,
            "",
            {f"customers/c{number}": customer(number, 2.0)},
        )
        for number in range(CHANGES)
    ]

    def apply() -> None:
        for change in changes:
            log.advance(change)

    change_s = cpu_seconds(apply) / CHANGES
    log.replace(log.state)
    pages: list[int] = []
    page_s: list[float] = []
    apply_s = 0.0
    pull = TreePull(EMPTY_TREE)
    result: object = None
    while not isinstance(result, TreeState):
        started = time.process_time()
        page = log.page(pull.fetch)
        page_s.append(time.process_time() - started)
        pages.append(len(page.body))
        started = time.process_time()
        result = pull.add_page(page)
        apply_s += time.process_time() - started
    return Row(
        count,
        change_s * 1e6,
        len(change_to_json(changes[0])),
        sorted(page_s)[-2] * 1e3,
        apply_s * 1e3,
        len(pages),
        sum(pages),
        memory_bytes,
    )


def main() -> None:
    """Print a row for each size."""
    print(" ".join(f"{name:>15}" for name in Row._fields))
    for size in SIZES:
        print(" ".join(f"{value:15.1f}" for value in measure(size)))


if __name__ == "__main__":
    main()

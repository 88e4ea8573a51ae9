"""Renders the capacity tables, and replaces them in the page between its markers."""

import platform
from collections.abc import Iterator
from pathlib import Path

from bench.capacity._slopes import Slope
from bench.capacity._target import (
    BOOTS_S,
    BYTES_BUDGET,
    CHANGES_S,
    CPU_BUDGET,
    CUSTOMERS,
    MEMORY_BUDGET,
    RELAY_VMS,
    STORE_READS_BUDGET,
    STORE_WRITES_BUDGET,
    VMS,
    Row,
    Slopes,
    by_key,
    rows,
)

BEGIN = "<!-- begin: python -m bench.capacity --page docs/CAPACITY.md -->"
END = "<!-- end -->"

_MEGABYTE = 1e6
_KILOBYTE = 1e3


def tables(found: dict[str, list[Slope]]) -> str:
    """Return all tables as Markdown."""
    slopes = by_key(found)
    parts = [
        _lines(_slope_lines(found)),
        _lines(_row_lines(slopes)),
        _lines(_store_lines(slopes)),
    ]
    return "\n\n".join(parts)


def replace_tables(page: Path, found: dict[str, list[Slope]]) -> None:
    """Replace the text between the page's markers by the tables."""
    before, _, rest = page.read_text(encoding="utf-8").partition(BEGIN)
    after = rest.partition(END)[2]
    text = f"{before}{BEGIN}\n\n{tables(found)}\n\n{END}{after}"
    page.write_text(text, encoding="utf-8")


def _lines(lines: Iterator[str]) -> str:
    return "\n".join(lines)


def _slope_lines(found: dict[str, list[Slope]]) -> Iterator[str]:
    yield "### Slopes"
    yield ""
    yield (
        f"Python {platform.python_version()}; "
        "each slope by `python -m bench.capacity NAME`."
    )
    yield ""
    yield "| NAME | what | points | slope | at size 0 | spread |"
    yield "|---|---|---|---|---|---|"
    for name, slopes in found.items():
        for slope in slopes:
            points = ", ".join(f"{p.size}: {p.value:.4g}" for p in slope.points)
            yield (
                f"| `{name}` | {slope.name} | {points} | {slope.per_size:.3g} "
                f"{slope.value_unit} per {slope.size_unit} | {slope.fixed:.3g} "
                f"| {slope.spread:.0%} |"
            )


def _row_lines(slopes: Slopes) -> Iterator[str]:
    yield "### Each role at the target, for one VM"
    yield ""
    yield "| role | what | kind | core | bytes/s | memory | slope times number |"
    yield "|---|---|---|---|---|---|---|"
    found = rows(slopes)
    for item in found:
        yield _row_line(item, item.role, item.activity)
    counted = [item for item in found if not item.is_data and item.activity[0] != "("]
    total = Row(
        "**control in whole**",
        "a VM that keeps one pool and relays settings",
        False,
        sum(item.core_share or 0 for item in counted),
        sum(item.bytes_s or 0 for item in counted),
        sum(item.memory_bytes or 0 for item in counted),
        "sum of the control rows, without those in brackets",
    )
    yield _row_line(total, total.role, total.activity)


def _row_line(item: Row, role: str, matter: str) -> str:
    kind = "data" if item.is_data else "control"
    core = _cell(item.core_share, CPU_BUDGET, item.is_data, "{:.1%}", 1)
    sent = _cell(item.bytes_s, BYTES_BUDGET, item.is_data, "{:.2f} KB", _KILOBYTE)
    memory = _cell(
        item.memory_bytes, MEMORY_BUDGET, item.is_data, "{:.1f} MB", _MEGABYTE
    )
    return (
        f"| {role} | {matter} | {kind} | {core} | {sent} | {memory} | {item.formula} |"
    )


def _cell(
    value: float | None, budget: float, is_data: bool, form: str, unit: float
) -> str:
    if value is None:
        return ""
    text = form.format(value / unit)
    return f"{text} **OVER**" if value > budget and not is_data else text


def _store_lines(slopes: Slopes) -> Iterator[str]:
    tree = slopes["tree in the store | bytes"]
    boot = slopes["boot: building the tree from the store's keys | us"]
    claim = slopes["claim opened and finished | store calls"]
    keyed_s = STORE_WRITES_BUDGET / claim.per_size
    read_bytes = tree.at(CUSTOMERS) * 4 / 3
    yield "### The store at the target, in whole"
    yield ""
    yield "| what | writes/s | reads/s | waiting watches | bytes/s | note |"
    yield "|---|---|---|---|---|---|"
    yield (
        f"| changes, each one transaction after one read of the tree | {CHANGES_S:.3f} "
        f"| {CHANGES_S:.3f} | | {CHANGES_S * read_bytes / 1e3:.0f} KB "
        f"| the tree is {read_bytes / 1e6:.1f} MB as JSON of the store |"
    )
    yield (
        f"| boots, each one read of the tree | | {BOOTS_S:.4f} | "
        f"| {BOOTS_S * read_bytes / 1e3:.0f} KB "
        f"| {boot.at(CUSTOMERS) / 1e6:.1f} s of processor time each |"
    )
    yield (
        f"| settings watches, two relays a zone | | | {RELAY_VMS} | "
        f"| one a VM would be {VMS} |"
    )
    yield (
        f"| claims of keys | {claim.per_size:.0f} a keyed call | | | "
        f"| {STORE_WRITES_BUDGET} writes/s carry {keyed_s:.0f} keyed calls/s |"
    )
    yield (
        f"| **budget** | {STORE_WRITES_BUDGET} | {STORE_READS_BUDGET} | "
        "counted as reads | | |"
    )

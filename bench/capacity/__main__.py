"""Measures how costs grow with size, and prints the tables: ``make capacity``."""

import argparse
import json
import sys
import time
from collections.abc import Iterable
from pathlib import Path

# Each module registers its measurements.
from bench.capacity import _control, _daemons, _roles, _settings
from bench.capacity._page import replace_tables, tables
from bench.capacity._slopes import MEASUREMENTS, Point, Slope

__all__ = ["_control", "_daemons", "_roles", "_settings"]


def line(name: str, slope: Slope) -> str:
    """Return one row of the table."""
    points = "  ".join(f"{point.size}: {point.value:.4g}" for point in slope.points)
    return (
        f"{name:10} {slope.name:52} {slope.per_size:10.4g} {slope.value_unit} per "
        f"{slope.size_unit}; fixed {slope.fixed:.4g}; spread {slope.spread:.0%}\n"
        f"{'':11}{points}"
    )


def run(names: Iterable[str]) -> dict[str, list[Slope]]:
    """Run measurements, and print each slope when it is measured."""
    found: dict[str, list[Slope]] = {}
    for name in names:
        started_s = time.monotonic()
        found[name] = list(MEASUREMENTS[name]())
        for slope in found[name]:
            print(line(name, slope), flush=True)
        print(f"{'':11}({time.monotonic() - started_s:.0f} s)", flush=True)
    return found


def saved(path: Path) -> dict[str, list[Slope]]:
    """Return the slopes that an earlier run saved."""
    found = json.loads(path.read_text(encoding="utf-8"))
    return {
        name: [
            Slope(
                fields[0],
                fields[1],
                fields[2],
                tuple(Point(*point) for point in fields[3]),
            )
            for fields in slopes
        ]
        for name, slopes in found.items()
    }


def main() -> int:
    """Run the measurements that the command line names, or all, and the tables."""
    parser = argparse.ArgumentParser(prog="bench.capacity")
    parser.add_argument("names", nargs="*", help=", ".join(MEASUREMENTS))
    parser.add_argument("--save", type=Path, help="file for the slopes")
    parser.add_argument("--saved", type=Path, help="take slopes from a file")
    parser.add_argument("--page", type=Path, help="page to put the tables into")
    options = parser.parse_args()
    if options.saved:
        found = saved(options.saved)
    else:
        found = run(options.names or MEASUREMENTS)
    if options.save:
        options.save.write_text(json.dumps(found), encoding="utf-8")
    if options.page:
        replace_tables(options.page, found)
    elif not options.names:
        print(tables(found))
    return 0


if __name__ == "__main__":
    sys.exit(main())

"""Reads the list of known failures."""

from typing import NamedTuple


class KnownRed(NamedTuple):
    """One entry: the test, and what is known of its failure."""

    test: str
    reason: str


def parse_known_red(text: str) -> list[KnownRed]:
    """Return the entries of KNOWN-RED.txt, one a line; a name may come again."""
    entries = []
    for line in text.splitlines():
        if line and not line.startswith("#"):
            test, _, reason = line.partition(" | ")
            entries.append(KnownRed(test.strip(), reason))
    return entries

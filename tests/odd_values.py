"""Values as other programs may write them into documents, for tests of decoders."""

import json
import math
from typing import Any

from hypothesis import strategies as st

NESTING = 100_000
"""Depth of a document that no recursive parser can read."""

ODD_BYTES: tuple[bytes, ...] = (
    b"",
    b"{",
    b"\xff\xfe",
    b"null",
    b"7",
    b'"text"',
    b"[]",
    b"[" * NESTING + b"]" * NESTING,
    b'{"a":' * NESTING,
    b"9" * 5_000,
    b"1e999",
    b'{"\\ud800": 1}',
)
"""Bytes that are no document of any kind."""

ODD_NUMBERS: tuple[Any, ...] = (
    -1,
    10**30,
    2**63,
    2**64,
    10**400,
    -(10**400),
    math.inf,
    -math.inf,
    math.nan,
    1e308,
    "12",
    [],
    {},
    None,
)
"""Values that no field for a whole number of moderate size takes."""

ODD_ADDRESSES: tuple[Any, ...] = (
    "10.0.0.1:0",
    "10.0.0.1:65536",
    "10.0.0.1:99999",
    "10.0.0.1:-1",
    "10.0.0.1:",
    "10.0.0.1:8\u0663",
    "10.0.0.\u0661:80",
    "10.0.0.1\0:80",
    "10.0.0.1:80\n",
    "\ud800:80",
    f"{'a' * 300}:80",
    "",
    ":80",
    7,
    None,
)
"""Values that name no host and port."""

ODD_IP_ADDRESSES: tuple[Any, ...] = (
    *ODD_ADDRESSES,
    "10.0.0.256:80",
    "10.0.0:80",
    "999.999.999.999:80",
    "10.0.0.010:80",
    "host:80",
)
"""Values that name no IPv4 address and port."""

NESTED: Any = json.loads("[" * 150 + "]" * 150)

_ODD_VALUES = st.sampled_from([*ODD_NUMBERS, *ODD_IP_ADDRESSES, NESTED])

_SCALARS: st.SearchStrategy[Any] = (
    st.none()
    | st.booleans()
    | st.integers()
    | st.integers(min_value=10**15, max_value=10**30)
    | st.floats()
    | st.text(st.characters(codec=None, exclude_categories=()), max_size=9)
)

JSON_VALUES: st.SearchStrategy[Any] = (
    _ODD_VALUES
    | _SCALARS
    | st.recursive(
        _ODD_VALUES | _SCALARS,
        lambda inner: (
            st.lists(inner, max_size=3)
            | st.dictionaries(st.text(max_size=4), inner, max_size=3)
        ),
        max_leaves=4,
    )
)
"""Any JSON value, with those that decoders have failed on among them."""


def paths(document: Any, prefix: str = "") -> list[str]:
    """Return the paths of all named fields, as ``changed`` takes them."""
    if isinstance(document, list):
        return [
            path
            for index, value in enumerate(document)
            for path in paths(value, f"{prefix}{index}.")
        ]
    if not isinstance(document, dict):
        return []
    found = []
    for name, value in document.items():
        found.append(f"{prefix}{name}")
        found += paths(value, f"{prefix}{name}.")
    return found

"""Types of fields, whose values fit wherever they are used."""

import re
from ipaddress import IPv4Address
from typing import Annotated

from pydantic import AfterValidator, Field

UINT32_MAX = 2**32 - 1
"""Largest value of a 32-bit field of a message between VMs."""

INT64_MAX = 2**63 - 1
"""Largest value of a 64-bit field of a message, signed or not."""

COUNT_MAX = 2**31 - 1
"""Largest count; the sum of two fits a 32-bit field of a message."""

MS_MAX = 1e12
"""Longest time, in milliseconds: some 30 years.

Sums of such times are exact to a microsecond, and fit 64-bit fields of messages.
"""

AMOUNT_MAX = 1e15
"""Largest amount, rate or size; sums of such amounts are exact to a unit."""

BYTES_MAX = 2**40
"""Largest limit of a size, in bytes."""

PORT_MAX = 65_535
"""Largest TCP port."""

TEXT_CHARS_MAX = 4_096
"""Longest text, in characters; some thousands fit the largest frame of a link."""

NAME_CHARS_MAX = 255
"""Longest name, in characters, as of a file or a host."""

_PORT = re.compile(r"[0-9]{1,5}")
_HOST = re.compile(r"[A-Za-z0-9_-]{1,63}(\.[A-Za-z0-9_-]{1,63})*\.?")
_CONTROL = re.compile(r"[\x00-\x1f\x7f]")


def host_and_port(address: str, *, port_min: int = 1) -> tuple[str, int]:
    """Return the host and the port of an address.

    Args:
        address: a host by name or IPv4 address, a colon and a port.
        port_min: the smallest port, 0 for addresses to listen on.

    Raises:
        ValueError: the host cannot be looked up, or the port is out of range.
    """
    host, _, port = address.rpartition(":")
    if len(host) > NAME_CHARS_MAX or not _HOST.fullmatch(host):
        raise ValueError("no host")
    if not _PORT.fullmatch(port) or not port_min <= int(port) <= PORT_MAX:
        raise ValueError("no port, or one out of range")
    return host, int(port)


def _check_ip_address(text: str) -> str:
    IPv4Address(host_and_port(text)[0])
    return text


def _check_host_address(text: str) -> str:
    host_and_port(text)
    return text


def _check_listen_address(text: str) -> str:
    host_and_port(text, port_min=0)
    return text


def _check_header_text(text: str) -> str:
    if _CONTROL.search(text) or text != text.strip():
        raise ValueError("not usable in a header line")
    return text


# A limit of the length also refuses texts that UTF-8 cannot encode.
Text = Annotated[str, Field(max_length=TEXT_CHARS_MAX)]
"""A text of any content."""

Name = Annotated[str, Field(min_length=1, max_length=NAME_CHARS_MAX)]
"""A name that is not empty."""

HeaderText = Annotated[
    str, Field(max_length=TEXT_CHARS_MAX), AfterValidator(_check_header_text)
]
"""A text that is the value of a header line."""

Id = Annotated[str, Field(pattern=r"^[!-~]{1,255}$")]
"""A name in visible ASCII, which header lines and URLs can carry."""

IpAddress = Annotated[str, AfterValidator(_check_ip_address)]
"""An IPv4 address and a port."""

HostAddress = Annotated[str, AfterValidator(_check_host_address)]
"""A host by name or IPv4 address, and a port."""

ListenAddress = Annotated[str, AfterValidator(_check_listen_address)]
"""A host and a port to listen on, 0 for any."""

Count = Annotated[int, Field(ge=0, le=COUNT_MAX)]
PositiveCount = Annotated[int, Field(gt=0, le=COUNT_MAX)]

Revision = Annotated[int, Field(ge=0, le=INT64_MAX)]
"""A revision, a version or a time since the epoch."""

Milliseconds = Annotated[float, Field(ge=0, le=MS_MAX)]
PositiveMilliseconds = Annotated[float, Field(gt=0, le=MS_MAX)]
SignedMilliseconds = Annotated[float, Field(ge=-MS_MAX, le=MS_MAX)]

Amount = Annotated[float, Field(ge=0, le=AMOUNT_MAX)]
PositiveAmount = Annotated[float, Field(gt=0, le=AMOUNT_MAX)]


def saturated(value: float, maximum: int = UINT32_MAX) -> int:
    """Return the nearest whole number that a field of a message takes.

    Args:
        value: the number; it must not be NaN.
        maximum: the largest value of the field.
    """
    return int(max(0, min(value, maximum)))

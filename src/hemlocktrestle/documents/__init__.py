"""Decoding of documents that other programs wrote: parser, checks, field types.

Such a document may hold anything.  Each way in which it cannot be used gives one
error of a known kind, and each number and address that passes can be used as it is.
"""

from hemlocktrestle.documents._fields import (
    AMOUNT_MAX,
    BYTES_MAX,
    COUNT_MAX,
    INT64_MAX,
    MS_MAX,
    PORT_MAX,
    TEXT_CHARS_MAX,
    UINT32_MAX,
    Amount,
    Count,
    HeaderText,
    HostAddress,
    Id,
    IpAddress,
    ListenAddress,
    Milliseconds,
    Name,
    PositiveAmount,
    PositiveCount,
    PositiveMilliseconds,
    Revision,
    SignedMilliseconds,
    Text,
    saturated,
)
from hemlocktrestle.documents._json import check, decode_json, parse_json

__all__ = [
    "AMOUNT_MAX",
    "BYTES_MAX",
    "COUNT_MAX",
    "INT64_MAX",
    "MS_MAX",
    "PORT_MAX",
    "TEXT_CHARS_MAX",
    "UINT32_MAX",
    "Amount",
    "Count",
    "HeaderText",
    "HostAddress",
    "Id",
    "IpAddress",
    "ListenAddress",
    "Milliseconds",
    "Name",
    "PositiveAmount",
    "PositiveCount",
    "PositiveMilliseconds",
    "Revision",
    "SignedMilliseconds",
    "Text",
    "check",
    "decode_json",
    "parse_json",
    "saturated",
]

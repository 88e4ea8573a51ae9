"""A bound on the work of h11 for a header line.

h11 (0.16) searches for blanks on both sides of a value that may be empty.  For a line
of blanks that is no valid header it tries each way to divide them, so that a head of
64 KiB takes seconds.  Its pattern is replaced by one for the same lines that gives no
blank back.  httpcore and hypercorn parse heads with h11, too.
"""

import re

import h11._abnf
import h11._readers

HEADER_LINE = re.compile(
    rf"(?P<field_name>{h11._abnf.field_name}):[ \t]*+"
    rf"(?P<field_value>{h11._abnf.field_value})[ \t]*".encode("ascii")
)
"""A header line; its blanks before the value belong to nothing else."""


def bound_header_parsing() -> None:
    """Replace the pattern with which h11 parses header lines in this process."""
    h11._readers.header_field_re = HEADER_LINE

"""Processor time and memory of a process, as Linux reports them in ``/proc``."""

import os
from pathlib import Path
from typing import NamedTuple

_TICK_S = 1 / os.sysconf("SC_CLK_TCK")
_KIB = 1024


class Cost(NamedTuple):
    """Processor time used by a process so far, and its resident memory."""

    cpu_s: float
    rss_bytes: int


def cost_of(pid: int) -> Cost:
    """Return processor time and resident memory of a process."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    cpu_s = (int(fields[11]) + int(fields[12])) * _TICK_S
    status = Path(f"/proc/{pid}/status").read_text()
    rss = status.partition("VmRSS:")[2].split()[0]
    return Cost(cpu_s, int(rss) * _KIB)

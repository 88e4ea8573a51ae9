"""Tells the crashes of an upstream apart, whoever reports them and how often."""

from typing import NamedTuple

SAME_CRASH_MS = 500.0
"""Longest time by which reports of one crash differ beside their own span, in ms.

A crashed upstream takes longer to come back.
"""

CRASHES_PER_UPSTREAM_MAX = 16
"""Crashes of one upstream that are kept; the oldest are evicted first."""

UPSTREAMS_MAX = 1_024
"""Upstreams that are kept; those with the oldest reports are evicted first."""

_SEPARATOR = " #"


class CrashReport(NamedTuple):
    """A request that ran on an upstream when it crashed.

    Args:
        upstream: name of the upstream.
        began_ms: when the request was sent to it, by the time of the process.
        at_ms: when the crash was noticed.
    """

    upstream: str
    began_ms: float
    at_ms: float


class _KnownCrash(NamedTuple):
    """The span in which a crash happened, by all that was reported of it."""

    number: int
    from_ms: float
    until_ms: float

    def includes(self, report: CrashReport) -> bool:
        return (
            report.began_ms <= self.until_ms + SAME_CRASH_MS
            and self.from_ms <= report.at_ms + SAME_CRASH_MS
        )

    def narrowed_by(self, report: CrashReport) -> "_KnownCrash":
        until_ms = min(self.until_ms, report.at_ms)
        from_ms = min(max(self.from_ms, report.began_ms), until_ms)
        return self._replace(from_ms=from_ms, until_ms=until_ms)


class CrashLog:
    """Names crashes: reports whose requests ran at the same time mean the same one.

    A request that was sent after a crash was noticed reached another incarnation of
    the upstream, whether or not its registration is known yet.
    """

    def __init__(self) -> None:
        self._crashes: dict[str, list[_KnownCrash]] = {}

    def identify(self, report: CrashReport) -> str:
        """Return the name of a crash; each crash of an upstream has another one."""
        upstream = report.upstream
        crashes = self._crashes.pop(upstream, [])
        self._crashes[upstream] = crashes
        for index, known in enumerate(crashes):
            if known.includes(report):
                crashes[index] = known.narrowed_by(report)
                return f"{upstream}{_SEPARATOR}{known.number}"
        number = crashes[-1].number + 1 if crashes else 1
        crashes.append(_KnownCrash(number, report.began_ms, report.at_ms))
        del crashes[:-CRASHES_PER_UPSTREAM_MAX]
        if len(self._crashes) > UPSTREAMS_MAX:
            del self._crashes[next(iter(self._crashes))]
        return f"{upstream}{_SEPARATOR}{number}"


def upstream_of(crash_name: str) -> str:
    """Return the upstream of a named crash."""
    return crash_name.rpartition(_SEPARATOR)[0]

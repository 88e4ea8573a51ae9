"""Retry budget: bounds how often requests are sent to another replica."""

from collections import deque

RATIO_SHARE = 0.8
"""Share of the allowed ratio that is used, which leaves room for differing counts."""

SLACK_SHARE = 0.5
"""Share of the common slack that is divided among the VMs."""


class RetryBudget:
    """This VM's part of a service's retry budget.

    Every VM keeps to the ratio on its own requests and to its part of the slack, so
    that the total over all VMs is bounded without coordination.

    Args:
        ratio: retries allowed for each request.
        slack: retries allowed in addition over all VMs in one window.
        window_ms: length of the window in milliseconds.
    """

    def __init__(self, *, ratio: float, slack: float, window_ms: float) -> None:
        self._ratio = ratio * RATIO_SHARE
        self._slack = slack * SLACK_SHARE
        self._window_ms = window_ms
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def record_request(self, now_ms: float) -> None:
        """Count a caller's request."""
        self._requests.append(now_ms)

    def try_spend(self, vm_count: int, now_ms: float) -> bool:
        """Spend one retry; ``False`` if the budget is exhausted."""
        if self.remaining(vm_count, now_ms) < 1:
            return False
        self._retries.append(now_ms)
        return True

    def refund(self, spent_ms: float) -> None:
        """Return a retry that was not sent, unless its window has ended.

        Args:
            spent_ms: when it was spent.
        """
        if spent_ms in self._retries:
            self._retries.remove(spent_ms)

    def remaining(self, vm_count: int, now_ms: float) -> float:
        """Return how many retries this VM may still send in the current window."""
        start_ms = now_ms - self._window_ms
        for times in (self._requests, self._retries):
            while times and times[0] < start_ms:
                times.popleft()
        allowed = self._ratio * len(self._requests) + self._slack / max(1, vm_count)
        return allowed - len(self._retries)

"""The budget for sending a request to one more replica."""

from collections import deque

SPENT_SHARE = 0.8
"""Share of the allowed ratio that is spent, so that counts that differ still fit."""

SLACK_SHARE = 0.5
"""Share of the common slack that the VMs divide among them."""


class RetryBudget:
    """This VM's part of a service's budget for repeats.

    Every VM keeps to the ratio on its own requests and to its part of the slack, so
    the sum over all VMs holds without any message.

    Args:
        ratio: repeats allowed for each request.
        slack: repeats allowed beyond that over all VMs in one window.
        window_ms: length of the window in milliseconds.
    """

    def __init__(self, *, ratio: float, slack: float, window_ms: float) -> None:
        self._ratio = ratio * SPENT_SHARE
        self._slack = slack * SLACK_SHARE
        self._window_ms = window_ms
        self._requests: deque[float] = deque()
        self._repeats: deque[float] = deque()

    def record_request(self, now_ms: float) -> None:
        """Count a caller's request."""
        self._requests.append(now_ms)

    def try_spend(self, vm_count: int, now_ms: float) -> bool:
        """Spend one repeat; ``False`` if the budget is used up."""
        if self.remaining(vm_count, now_ms) < 1:
            return False
        self._repeats.append(now_ms)
        return True

    def remaining(self, vm_count: int, now_ms: float) -> float:
        """Return how many repeats this VM may still send in the present window."""
        start_ms = now_ms - self._window_ms
        for times in (self._requests, self._repeats):
            while times and times[0] < start_ms:
                times.popleft()
        allowed = self._ratio * len(self._requests) + self._slack / max(1, vm_count)
        return allowed - len(self._repeats)

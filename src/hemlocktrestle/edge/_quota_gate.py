"""Quotas of customers where requests are counted: at the keepers, or at their VM."""

import logging

from hemlocktrestle.edge._state import EdgeState, now_ms
from hemlocktrestle.errors import ErrorKind, RequestError
from hemlocktrestle.gateway import Customer, Quota
from hemlocktrestle.wire import Ask

log = logging.getLogger(__name__)


RETRY_MS_MAX = 3_000.0
"""Longest pause that a caller over its quota is asked for, in milliseconds."""


def over_quota(wait_ms: float) -> RequestError:
    """Return the error of a request that is over its customer's quota."""
    return RequestError(
        ErrorKind.RATE_LIMITED,
        "customer is over its quota",
        retry_after_ms=min(wait_ms, RETRY_MS_MAX),
    )


class EdgeQuotas:
    """Counts requests against the quotas of the configuration in force.

    Requests that ask a keeper are counted there, so that few VMs divide a quota.

    Args:
        state: what the process believes.
    """

    def __init__(self, state: EdgeState) -> None:
        self._state = state

    def admit(self, ask: Ask) -> float | None:
        """Count an ask; returns the time to come again in if it is over the quota."""
        customer = self._customer(ask.customer)
        if customer is None:
            return None
        return self.spend(customer, ask.amount, request_id=ask.ask_id)

    def refund(self, ask: Ask) -> None:
        """Give back what an ask counted that got no permit."""
        if self._customer(ask.customer) is not None:
            self._state.quotas.refund(ask.customer, ask.amount, now_ms())

    def spend(
        self, customer: Customer, amount: float, *, request_id: str
    ) -> float | None:
        """Count a request here.

        Args:
            customer: whose quota it counts against.
            amount: what it counts.
            request_id: its id, for the log.

        Returns:
            ``None``, or the time in milliseconds to come again in.
        """
        if customer.rate_per_s <= 0:
            return None
        bounds = self._state.settings.bounds
        fleet = self._state.fleet(customer.name)
        quota = Quota(
            customer.rate_per_s,
            customer.burst,
            bounds.quota_window_ms,
            bounds.quota_over,
            bounds.quota_slack,
        )
        wait_ms = self._state.quotas.admit(
            customer.name,
            quota,
            amount=amount,
            fleet=fleet,
            now_ms=now_ms(),
            was_busy=customer.name in self._state.stored_busy_customers,
        )
        if wait_ms is not None:
            log.info(
                "quota_spent",
                extra={
                    "request": request_id,
                    "customer": customer.name,
                    "limit": round(quota.limit),
                    "amount": amount,
                    "vm_count": fleet.vm_count,
                    "heard_count": fleet.reporting_count,
                    "spent_elsewhere": fleet.demands.get(customer.name),
                    **self._state.quotas.explain(customer.name, now_ms()),
                },
            )
        return wait_ms

    def _customer(self, name: str) -> Customer | None:
        configuration = self._state.configuration
        return configuration.customers.get(name) if configuration is not None else None

"""Enforcement of customers' quotas, at a pool scheduler or at the receiving VM."""

import logging

from hemlocktrestle.edge._state import EdgeState, now_ms
from hemlocktrestle.errors import ErrorKind, RequestError
from hemlocktrestle.gateway import Customer, Quota
from hemlocktrestle.wire import Ask

log = logging.getLogger(__name__)


def over_quota(wait_ms: float) -> RequestError:
    """Return the error of a request that is over its customer's quota."""
    return RequestError(
        ErrorKind.RATE_LIMITED,
        "customer is over its quota",
        retry_after_ms=wait_ms,
    )


class EdgeQuotas:
    """Counts requests against the quotas of the configuration in force.

    Requests that need a permit are counted at the pool scheduler, so that each
    quota is divided among few VMs.

    Args:
        state: shared state of the process.
    """

    def __init__(self, state: EdgeState) -> None:
        self._state = state

    def admit(self, ask: Ask) -> float | None:
        """Count a permit request; see :meth:`spend` for the result."""
        customer = self._customer(ask.customer)
        if customer is None:
            return None
        return self.spend(customer, ask.amount, request_id=ask.ask_id)

    def refund(self, ask: Ask) -> None:
        """Undo the count of a permit request that got no permit."""
        if self._customer(ask.customer) is not None:
            self._state.quotas.refund(ask.customer, ask.amount, now_ms())

    def spend(
        self, customer: Customer, amount: float, *, request_id: str
    ) -> float | None:
        """Count a request against its customer's quota.

        Args:
            customer: whose quota it counts against.
            amount: the amount to count.
            request_id: its id, for the log.

        Returns:
            ``None`` if the request is within the quota, else the time in
            milliseconds after which it may be.
        """
        if customer.rate_per_s <= 0:
            return None
        bounds = self._state.settings.bounds
        fleet = self._state.fleet(customer.name)
        quota = Quota(
            customer.rate_per_s,
            customer.burst,
            bounds.quota_window_ms,
            bounds.quota_excess_share,
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

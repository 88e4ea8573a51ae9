"""A request on its way through the edge."""

from typing import NamedTuple

from hemlocktrestle.gateway import Customer, RequestMetadata, Route, Service
from hemlocktrestle.relay import CallerRequest


class Job(NamedTuple):
    """One request with all that decides how it is served.

    Args:
        request: the caller's request.
        facts: what its head says.
        route: its route.
        service: the service that was chosen for it.
        customer: the customer of its key, or ``None`` on a public route.
        rank: urgency, 0 the highest.
        fingerprint: digest by which the same request is known when it comes again.
        deadline_at_ms: when it must be answered, by the clock of the process.
        is_begun: whether a part of its answer has gone out.
    """

    request: CallerRequest
    facts: RequestMetadata
    route: Route
    service: Service
    customer: Customer | None
    rank: int
    fingerprint: str
    deadline_at_ms: float
    is_begun: bool = False

    @property
    def amount(self) -> int:
        """What the request counts against its customer's quota."""
        if self.customer is None or self.customer.rate_per_s <= 0:
            return 0
        if not self.customer.counts_tokens:
            return 1
        stated = self.facts.tokens if self.facts.states_tokens else 0
        return stated or self.customer.default_tokens

    @property
    def customer_name(self) -> str:
        """Name of the customer, empty if there is none."""
        return self.customer.name if self.customer is not None else ""

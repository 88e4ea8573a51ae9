"""A request that the edge daemon serves."""

from typing import NamedTuple

from hemlocktrestle.gateway import (
    Customer,
    RequestMetadata,
    Route,
    Service,
    part_due_ms,
)
from hemlocktrestle.relay import CallerRequest


class Job(NamedTuple):
    """One request with all data that decides how it is served.

    Args:
        request: the caller's request.
        metadata: fields parsed from its headers.
        route: its route.
        service: the service that was chosen for it.
        customer: the customer of its key, or ``None`` on a public route.
        rank: urgency, 0 the highest.
        fingerprint: digest that identifies the same request when it is sent again.
        deadline_at_ms: when it must be answered, by the clock of the process.
        last_part_ms: when the last part of its answer was sent to the caller, or
            ``None`` if there is none.
    """

    request: CallerRequest
    metadata: RequestMetadata
    route: Route
    service: Service
    customer: Customer | None
    rank: int
    fingerprint: str
    deadline_at_ms: float
    last_part_ms: float | None = None

    @property
    def is_begun(self) -> bool:
        """Whether a part of its answer was sent to the caller."""
        return self.last_part_ms is not None

    @property
    def part_due_ms(self) -> float:
        """When its caller must have the next part of the answer."""
        since_ms = self.last_part_ms
        return part_due_ms(
            self.route,
            since_ms=self.request.arrived_ms if since_ms is None else since_ms,
            answer_due_ms=self.deadline_at_ms,
        )

    @property
    def amount(self) -> int:
        """Amount that the request counts against its customer's quota."""
        if self.customer is None or self.customer.rate_per_s <= 0:
            return 0
        if not self.customer.counts_tokens:
            return 1
        stated = self.metadata.tokens if self.metadata.states_tokens else 0
        return stated or self.customer.default_tokens

    @property
    def customer_name(self) -> str:
        """Name of the customer, empty if there is none."""
        return self.customer.name if self.customer is not None else ""

"""What the operator configures: routes, services, customers and limits."""

from collections.abc import Iterable
from enum import Enum
from typing import NamedTuple

import xxhash


class RequestKind(Enum):
    """What may be repeated about a request."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"


class Target(NamedTuple):
    """A service that takes a share of a route's requests."""

    service: str
    weight: float


class Route(NamedTuple):
    """One route of callers to services.

    Args:
        name: the operator's name of the route.
        host: host that callers name, in lower case.
        prefix: start of the paths, with a slash at both ends.
        kind: what may be repeated.
        timeout_ms: longest time to keep a caller waiting.
        objective_ms: time within which an answer has its full worth.
        rank: urgency, 0 the highest.
        targets: services, with their shares of the requests.
        attempts: replicas that one request may be sent to at most.
        is_public: whether no key is needed.
        may_resume: whether a broken stream may go on at another replica.
        gap_ms: longest pause between events that is still on time, 0 if none is set.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    timeout_ms: float
    objective_ms: float
    rank: int
    targets: tuple[Target, ...]
    attempts: int
    is_public: bool
    may_resume: bool
    gap_ms: float

    @property
    def may_retry(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RequestKind.IDEMPOTENT or self.may_resume


class EngineLimits(NamedTuple):
    """Places of a service's engines, and the tokens that an event of them holds."""

    slots: int
    tokens_per_event: int


class Service(NamedTuple):
    """One service; ``engine`` is ``None`` for plain services."""

    name: str
    engine: EngineLimits | None


class Customer(NamedTuple):
    """One customer.

    Args:
        name: the customer's name.
        keys: keys of its callers.
        rank: urgency that goes before the route's, or ``None``.
        counts_tokens: whether the quota counts tokens rather than requests.
        plain_tokens: tokens of a request that states none.
        rate_per_s: quota a second, 0 for none.
        burst: what may come at once beyond the rate.
    """

    name: str
    keys: frozenset[str]
    rank: int | None
    counts_tokens: bool
    default_tokens: int
    rate_per_s: float
    burst: float


class CallerLimits(NamedTuple):
    """What a caller may send, and how long it may take."""

    header_bytes_max: int = 16_384
    body_bytes_max: int = 4 * 1024 * 1024
    header_timeout_ms: float = 3_000
    idle_timeout_ms: float = 15_000


class Configuration:
    """One version of the operator's configuration, indexed for lookup.

    Args:
        version: number of the version; later ones are larger.
        routes: all routes.
        services: all services.
        customers: all customers; if there is none, no keys are asked for.
        limits: limits on callers.
    """

    def __init__(
        self,
        *,
        version: int,
        routes: Iterable[Route],
        services: Iterable[Service],
        customers: Iterable[Customer],
        limits: CallerLimits,
    ) -> None:
        self.version = version
        self.routes = tuple(routes)
        self.services = {service.name: service for service in services}
        self.customers = {customer.name: customer for customer in customers}
        self.limits = limits
        self._by_key = {
            key: customer
            for customer in self.customers.values()
            for key in customer.keys
        }
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in self.routes:
            self._by_host.setdefault(route.host, {})[route.prefix] = route

    def route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that begins a path."""
        prefixes = self._by_host.get(host.lower())
        if prefixes is None:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
        return None

    def customer_of(self, key: str) -> Customer | None:
        """Return the customer that holds a key."""
        return self._by_key.get(key)


ROUTE_RANKS = 8
"""Ranks of routes that are told apart within one rank of customers."""


def urgency_rank(route: Route, customer: Customer | None) -> int:
    """Return the rank of a request, 0 the highest.

    The customer's rank goes first; among customers alike the route's decides.
    """
    own = customer.rank if customer is not None else None
    return (own or 0) * ROUTE_RANKS + min(route.rank, ROUTE_RANKS - 1)


def choose_service(route: Route, request_id: str) -> str:
    """Choose a route's service for a request, by the weights of its targets."""
    if len(route.targets) == 1:
        return route.targets[0].service
    total = sum(target.weight for target in route.targets)
    point = xxhash.xxh64_intdigest(request_id.encode()) / 2**64 * total
    for target in route.targets:
        point -= target.weight
        if point < 0:
            return target.service
    return route.targets[-1].service

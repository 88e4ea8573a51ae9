"""The operator's configuration: routes, services, customers and limits."""

import math
from collections.abc import Iterable
from enum import Enum
from typing import NamedTuple

import xxhash


class RequestKind(Enum):
    """Whether and how a request may be retried."""

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
        kind: whether and how requests may be retried.
        timeout_ms: longest time to keep a caller waiting.
        objective_ms: latency objective of an answer; a later one has less value.
        rank: urgency, 0 the highest.
        targets: services, with their shares of the requests.
        attempts: most replicas that one request may be sent to.
        is_public: whether callers need no key.
        may_resume: whether a broken stream may be resumed at another replica.
        gap_ms: objective for the pause between events, 0 if none is set.
        patience_ms: time without an event, also before the first one, after which
            callers leave a stream; infinite for other requests.
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
    patience_ms: float = math.inf

    @property
    def may_retry(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RequestKind.IDEMPOTENT or self.may_resume


class EngineLimits(NamedTuple):
    """Slots of a service's engines, and tokens in each event of their streams.

    ``memory_tokens`` is how many tokens the requests of one engine may hold, 0 if it
    is not stated.
    """

    slots: int
    tokens_per_event: int
    memory_tokens: int = 0


class Service(NamedTuple):
    """One service.

    Args:
        name: the operator's name of the service.
        engine: limits of its engines, ``None`` for plain services.
        connections_max: connections that each replica accepts from all VMs, 0 if that
            is not stated.
    """

    name: str
    engine: EngineLimits | None
    connections_max: int = 0


class Customer(NamedTuple):
    """One customer.

    Args:
        name: the customer's name.
        keys: keys of its callers.
        rank: urgency, compared before the route's, or ``None``.
        counts_tokens: whether the quota counts tokens rather than requests.
        default_tokens: tokens that are assumed of a request that states none.
        rate_per_s: quota a second, 0 for none.
        burst: what may be spent at once beyond the rate.
    """

    name: str
    keys: frozenset[str]
    rank: int | None
    counts_tokens: bool
    default_tokens: int
    rate_per_s: float
    burst: float


class CallerLimits(NamedTuple):
    """Limits on the size of a caller's request and on the time to send it."""

    header_bytes_max: int = 16_384
    body_bytes_max: int = 4 * 1024 * 1024
    header_timeout_ms: float = 3_000
    idle_timeout_ms: float = 15_000


class Configuration:
    """One version of the operator's configuration, indexed for lookup.

    Args:
        version: version number; later versions are larger.
        routes: all routes.
        services: all services.
        customers: all customers; if there is none, callers need no key.
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
        """Return the route of a host with the longest prefix of a path."""
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
"""Number of distinct route ranks within one customer rank; higher ones count alike."""

CUSTOMER_RANKS = 32
"""Number of distinct customer ranks; higher ones count alike.

With the route ranks they fit the field of a message that holds one byte.
"""


def urgency_rank(route: Route, customer: Customer | None) -> int:
    """Return the rank of a request, 0 the highest.

    Requests are ranked by customer, and with equal customer ranks by route.
    """
    own = customer.rank if customer is not None else None
    customer_rank = min(own or 0, CUSTOMER_RANKS - 1)
    return customer_rank * ROUTE_RANKS + min(route.rank, ROUTE_RANKS - 1)


def choose_service(route: Route, request_id: str) -> str:
    """Choose a route's service by its targets' weights and a hash of the id."""
    if len(route.targets) == 1:
        return route.targets[0].service
    total = sum(target.weight for target in route.targets)
    point = xxhash.xxh64_intdigest(request_id.encode()) / 2**64 * total
    for target in route.targets:
        point -= target.weight
        if point < 0:
            return target.service
    return route.targets[-1].service

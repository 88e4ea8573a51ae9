"""What a request is by the configuration in force: route, service, customer, rank."""

import xxhash

from hemlocktrestle.edge._state import EdgeState
from hemlocktrestle.edge.callers._job import Job
from hemlocktrestle.edge.callers._progress import RequestProgress
from hemlocktrestle.errors import ErrorKind, RequestError
from hemlocktrestle.gateway import (
    Configuration,
    Customer,
    EventSequence,
    RequestMetadata,
    Route,
    answer_due_ms,
    choose_service,
    urgency_rank,
)
from hemlocktrestle.relay import CallerRequest


def identify_request(
    state: EdgeState,
    request: CallerRequest,
    metadata: RequestMetadata,
    progress: RequestProgress,
    *,
    customer_name: str = "",
) -> Job:
    """Look up route, customer and service of a request; spends nothing.

    Args:
        state: shared state of the process.
        request: the request.
        metadata: fields parsed from its head.
        progress: is told what is known before an error.
        customer_name: the customer, if it is known without a key.

    Raises:
        RequestError: the request is refused, and this is why.
    """
    configuration = state.configuration
    if not state.accepts_requests:
        raise RequestError(ErrorKind.DRAINING, "this VM is leaving", retry_after_ms=0.0)
    if configuration is None or not state.has_loaded_vms:
        raise RequestError(ErrorKind.SETTINGS_UNREADY, "no configuration is known yet")
    progress.request_id = metadata.request_id
    route = configuration.route(metadata.host, metadata.path)
    if route is None:
        raise RequestError(ErrorKind.UNKNOWN_ROUTE, "no route for host and path")
    progress.route = route.name
    if route.may_resume:
        progress.events = EventSequence(metadata.last_event_id)
    customer = _customer(configuration, route, metadata.key, customer_name)
    service = configuration.services.get(choose_service(route, metadata.request_id))
    if service is None:
        raise RequestError(ErrorKind.NO_UPSTREAM, "service is not configured")
    return Job(
        request=request,
        metadata=metadata,
        route=route,
        service=service,
        customer=customer,
        rank=urgency_rank(route, customer),
        fingerprint=_fingerprint(request, metadata.key),
        deadline_at_ms=answer_due_ms(
            route, stated_ms=metadata.deadline_ms, arrived_ms=request.arrived_ms
        ),
    )


def _customer(
    configuration: Configuration, route: Route, key: str, name: str
) -> Customer | None:
    if not configuration.customers or route.is_public:
        return None
    customer = configuration.customers.get(name) or configuration.customer_of(key)
    if customer is None:
        raise RequestError(ErrorKind.UNKNOWN_TOKEN, "key is not known")
    return customer


def _fingerprint(request: CallerRequest, key: str) -> str:
    digest = xxhash.xxh3_128(request.body)
    digest.update(b"\0".join((request.method, request.target, key.encode("latin-1"))))
    return digest.hexdigest()

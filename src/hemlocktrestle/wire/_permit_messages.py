"""The messages about permits, between requesting VMs and pool schedulers."""

from typing import NamedTuple

from hemlocktrestle.wire._registry import message

TIERS: tuple[str, ...] = ("high", "normal", "low")
"""Tier names from the highest to the lowest priority; the index is the rank."""

NO_PART_LIMIT = -1
"""Value of ``aim_ms`` for a caller that waits for any part until the deadline."""


@message("ask")
class Ask(NamedTuple):
    """Permit request: asks a pool's scheduler for leave to dispatch one request.

    ``tier`` is a priority, 0 the highest; ``deadline_ms`` is the time that remains
    to the deadline when the message is sent; ``excluded`` names upstreams that the
    requesting VM will not use; ``aim_ms`` is the time that remains until the caller
    leaves without a first part of the answer, or ``NO_PART_LIMIT``; requests of one
    ``route`` have similar cost; ``amount`` is the charge to the customer's
    quota, 0 if it was charged before; ``first_ms`` and ``total_ms`` are the times to
    the first part and to the end of the answer as the requesting VM measured them on
    the route, 0 if it has not; ``zone`` is the requesting VM's, empty if replicas of
    all zones are alike to it, and ``way_ms`` is how much longer the way to another
    zone of its region takes than that within it.
    """

    ask_id: str
    pool: str
    customer: str
    tier: int
    weight: float
    prompt_tokens: int
    output_tokens: int
    prefix_digest: int
    deadline_ms: int
    excluded: tuple[str, ...] = ()
    aim_ms: int = NO_PART_LIMIT
    route: str = ""
    amount: int = 0
    first_ms: int = 0
    total_ms: int = 0
    zone: str = ""
    way_ms: float = 0.0


@message("queued")
class Queued(NamedTuple):
    """Acknowledges a permit request that waits in the scheduler's queue.

    A :class:`Permit` or a :class:`Refusal` follows.
    """

    ask_id: str


@message("permit")
class Permit(NamedTuple):
    """Grants leave to dispatch one request to one upstream, once, before it expires.

    ``waited_ms`` is the time that the request was queued at the scheduler.  The
    requesting VM subtracts it from the time since it sent the request: what remains
    bounds the age of the permit without comparing the clocks of two VMs.
    ``valid_ms`` is the longest such time.
    """

    ask_id: str
    pool: str
    upstream: str
    address: str
    waited_ms: int
    valid_ms: int


@message("refusal")
class Refusal(NamedTuple):
    """Refuses a permit request; ``kind`` is the value of an error kind."""

    ask_id: str
    kind: str
    retry_after_ms: int = 0


@message("release")
class Release(NamedTuple):
    """Returns a permit, with measurements of its request.

    ``sent`` tells whether any byte of the request may have been sent; ``failure``
    is the value of an error kind, or empty.  ``upstream_silent`` with nothing sent is
    a connect that got no reply.  ``status`` is that of the answer, 0 if none came.
    """

    ask_id: str
    pool: str
    upstream: str
    sent: bool
    failure: str
    first_token_ms: int
    total_ms: int
    prompt_tokens: int
    output_tokens: int
    status: int = 0


@message("pulse")
class Pulse(NamedTuple):
    """Reports the speed of a running stream, long before its :class:`Release`."""

    ask_id: str
    pool: str
    upstream: str
    first_token_ms: int
    decode_ms: int
    output_tokens: int


@message("withdraw")
class Withdraw(NamedTuple):
    """Cancels a permit request."""

    ask_id: str
    pool: str


@message("running")
class Running(NamedTuple):
    """Reports a running request to a scheduler that has taken over its pool."""

    ask_id: str
    pool: str
    upstream: str
    prompt_tokens: int
    output_tokens: int

"""Mutants of the claims on idempotency keys and of tickets."""

from collections.abc import Sequence
from typing import Any

from hemlocktrestle.claims import (
    ClaimRegistry,
    OpenClaim,
    TicketTable,
    _settlement,
    _tickets,
    fingerprint_of,
)
from hemlocktrestle.claims._record import Claim
from hemlocktrestle.claims._repairs import Repair, RepairQueue
from hemlocktrestle.daemon import _keyed_requests, _request_service
from hemlocktrestle.daemon._keyed_requests import KeyedRequestRunner, _Completion
from hemlocktrestle.daemon._request_parser import Job
from hemlocktrestle.daemon._tickets import OpenTicket, TicketService
from hemlocktrestle.ports import Compare, Put, Store, TxnResult
from tests.mutants import mutant


@mutant("claims.no_compare")
def write_claims_without_compare() -> None:
    """Claims overwrite each other, as without compare-and-swap."""

    class Blind:
        def __init__(self, store: Store) -> None:
            self._store = store
            self.read = store.read
            self.grant_lease = store.grant_lease

        async def write(
            self, compares: Sequence[Compare], puts: Sequence[Put]
        ) -> TxnResult:
            return await self._store.write([], puts)

    original = ClaimRegistry.__init__

    def blind_init(self: ClaimRegistry, store: Store, **options: object) -> None:
        original(self, Blind(store), **options)  # type: ignore[arg-type]

    ClaimRegistry.__init__ = blind_init  # type: ignore[assignment,method-assign]


@mutant("claims.run_unclaimed")
def run_without_an_answer() -> None:
    """A claim whose write got no answer counts as written."""

    async def settle(self: ClaimRegistry, key: str, claim: Claim) -> OpenClaim:
        return OpenClaim(key, claim, 0)

    ClaimRegistry._read_back = settle  # type: ignore[method-assign]


@mutant("claims.free_unknown")
def free_lost_outcomes() -> None:
    """A key whose outcome is unknown may be used again."""

    async def mark_unknown(self: ClaimRegistry, open_claim: OpenClaim) -> None:
        await self.drop(open_claim)

    ClaimRegistry.mark_unknown = mark_unknown  # type: ignore[method-assign]


@mutant("claims.no_repair")
def forget_unanswered_writes() -> None:
    """A claim whose last write got no answer is not repaired."""

    def add(
        self: RepairQueue, name: str, repair: Repair, *, size_bytes: int = 0
    ) -> None:
        return

    RepairQueue.add = add  # type: ignore[method-assign]


@mutant("claims.cancelled_by_caller")
def run_in_the_callers_task() -> None:
    """Work under a key is cancelled when its caller disconnects."""

    async def serve(self: KeyedRequestRunner, *arguments: Any) -> Any:
        job, responder, progress, stack = arguments
        result = _Completion()
        self._running_count += 1
        await self._run_task(job, responder, progress, stack, result)
        if result.value is None:
            assert result.error is not None
            raise result.error
        return result.value

    KeyedRequestRunner.serve = serve  # type: ignore[method-assign,assignment]


@mutant("claims.any_caller")
def give_answers_to_other_callers() -> None:
    """A key's answer goes to every caller of the customer."""

    def key_fingerprint(job: Job) -> str:
        request = job.request
        return fingerprint_of(request.method, request.target, request.body)

    _keyed_requests.key_fingerprint = key_fingerprint  # type: ignore[attr-defined]
    _request_service.key_fingerprint = key_fingerprint  # type: ignore[attr-defined]


@mutant("claims.settle_early")
def settle_what_may_run() -> None:
    """An open claim can be settled while its request may still be dispatched."""

    def is_abandoned(claim: Claim, *, wall_ms: int) -> bool:
        return True

    _settlement.is_abandoned = is_abandoned  # type: ignore[attr-defined]


@mutant("claims.run_late")
def run_after_the_claims_time() -> None:
    """A claim allows a dispatch without a time limit."""
    ClaimRegistry.check_runnable = lambda self, open_claim: None  # type: ignore[method-assign]


@mutant("tickets.any_boot")
def vouch_for_other_boots() -> None:
    """A VM accepts tickets of an earlier boot and of other customers as its own."""
    TicketTable._is_authentic = lambda *_: True  # type: ignore[method-assign]


@mutant("tickets.doubt_runs")
def run_in_doubt() -> None:
    """A ticket without a verdict counts as unused."""
    original = TicketService._request_verdict

    async def ask(
        self: TicketService, opened_ticket: OpenTicket, fingerprint: str
    ) -> str:
        return await original(self, opened_ticket, fingerprint) or _tickets.FRESH

    TicketService._request_verdict = ask  # type: ignore[method-assign]


@mutant("tickets.reusable")
def free_every_ticket() -> None:
    """A ticket may be used again however its request ended."""
    for outcome in list(_tickets._USE_BY_OUTCOME):
        _tickets._USE_BY_OUTCOME[outcome] = _tickets.TicketUse.FREED


@mutant("tickets.never_freed")
def keep_every_ticket() -> None:
    """A ticket stays used although nothing was run under it."""
    for outcome in list(_tickets._USE_BY_OUTCOME):
        _tickets._USE_BY_OUTCOME[outcome] = _tickets.TicketUse.UNKNOWN

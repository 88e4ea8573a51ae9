"""Opens and closes claims in the store, and resolves writes that got no answer."""

import logging
import random
from collections.abc import Callable
from functools import partial
from typing import NamedTuple

import trio

from hemlocktrestle.claims._record import (
    ANSWER_BYTES_MAX,
    Claim,
    ClaimState,
    RecordedAnswer,
    answer_for_resend,
    claim_from_json,
    claim_key,
    claim_to_json,
)
from hemlocktrestle.claims._repairs import RepairQueue
from hemlocktrestle.errors import ErrorKind, RequestError
from hemlocktrestle.ports import Compare, KeyValue, Put, Store

# Operators filter logs by this name; it is older than the module's.
log = logging.getLogger("hemlocktrestle.claims._book")

RETENTION_S = 48 * 3600
"""Shortest time for which a claim is kept, in seconds."""

LEASE_SHARING_MS = 3_600_000
"""Time for which new claims of a process share one lease, in milliseconds."""

LATE_WRITE_S_MAX = 10.0
"""Time in which a write that got no answer may still take effect, in seconds."""

CLOSE_TIMEOUT_S = 1.0
"""Longest wait of a request for its closed claim to be written, in seconds.

After that the write is left to the repair queue.
"""

REPAIR_BODY_BYTES_MAX = 16 * 1024 * 1024
"""Total size of response bodies that may wait in the repair queue, in bytes."""


class OpenClaim(NamedTuple):
    """A claim owned by this process; ``mod_revision`` is the condition of its write."""

    key: str
    claim: Claim
    mod_revision: int


class ClaimRegistry:
    """Opens, checks and closes the claims of one process.

    Args:
        store: the key-value service.
        writer: VM name and boot ID of this process.
        new_id: returns a fresh unique id.
        wall_ms: returns the time in milliseconds since the epoch.
    """

    def __init__(
        self,
        store: Store,
        *,
        writer: str,
        new_id: Callable[[], str],
        wall_ms: Callable[[], int],
    ) -> None:
        self._store = store
        self._writer = writer
        self._new_id = new_id
        self._wall_ms = wall_ms
        self._lease: tuple[int, int] | None = None
        self.repairs = RepairQueue(jitter=random.Random(writer))

    async def open(
        self,
        customer: str,
        key: str,
        *,
        fingerprint: str,
        request_id: str,
        run_ms: int,
    ) -> OpenClaim | RecordedAnswer:
        """Claim a key, or return the answer recorded under it.

        Args:
            customer: the customer that the key belongs to.
            key: the caller's idempotency key.
            fingerprint: digest of the request.
            request_id: ID of the request.
            run_ms: time from now in which it may be dispatched, in milliseconds.

        Returns:
            The claim if this request may run, or the answer recorded earlier.

        Raises:
            RequestError: ``CLAIM_UNAVAILABLE`` if the store did not show whether
                the key was claimed; otherwise as in :func:`answer_for_resend`.
        """
        store_key = claim_key(customer, key)
        opened_ms = self._wall_ms()
        claim = Claim(
            ClaimState.OPEN,
            self._writer,
            self._new_id(),
            fingerprint,
            request_id,
            opened_ms,
            opened_ms + run_ms,
            await self._shared_lease(),
        )
        try:
            return await self._create(store_key, claim)
        except RequestError as error:
            if error.kind is not ErrorKind.STORE_UNAVAILABLE:
                raise
        # The store may have rejected the lease, so the next claim gets a new one.
        self._lease = None
        return await self._read_back(store_key, claim)

    def check_runnable(self, open_claim: OpenClaim) -> None:
        """Check immediately before dispatch that the claim still permits it.

        Operators may settle a claim after its ``run_by_ms``, so a process that was
        suspended past that time must not dispatch the request.

        Raises:
            RequestError: of kind ``CLAIM_UNAVAILABLE`` if that time has passed.
        """
        if self._wall_ms() > open_claim.claim.run_by_ms:
            raise RequestError(
                ErrorKind.CLAIM_UNAVAILABLE, "the claim's time to run is over"
            )

    async def finish(self, open_claim: OpenClaim, answer: RecordedAnswer) -> None:
        """Record the answer under a claim, in the background if the store is slow."""
        body = answer.body
        if body is not None and len(body) > ANSWER_BYTES_MAX:
            answer = answer._replace(body=None)
        done = open_claim.claim._replace(state=ClaimState.DONE, answer=answer)
        await self._close(open_claim, done)

    async def mark_unknown(self, open_claim: OpenClaim) -> None:
        """Record that the outcome of the request is unknown."""
        await self._close(
            open_claim, open_claim.claim._replace(state=ClaimState.UNKNOWN)
        )

    async def drop(self, open_claim: OpenClaim) -> None:
        """Delete a claim whose request did not run, so that a resend may run."""
        await self._close(open_claim, None)

    async def _close(self, open_claim: OpenClaim, closed: Claim | None) -> None:
        try:
            with trio.move_on_after(CLOSE_TIMEOUT_S):
                await self._replace(open_claim, closed)
                return
        except RequestError as error:
            log.info("claim_closed_later", extra={"error_kind": error.kind.value})
        self._close_later(open_claim, closed)

    def _close_later(self, open_claim: OpenClaim, closed: Claim | None) -> None:
        answer = closed.answer if closed is not None else None
        size = len(answer.body) if answer is not None and answer.body else 0
        has_room = self.repairs.queued_bytes + size <= REPAIR_BODY_BYTES_MAX
        if closed is not None and answer is not None and not has_room:
            closed = closed._replace(answer=answer._replace(body=None))
            size = 0
        self.repairs.add(
            f"close/{open_claim.key}/{open_claim.claim.attempt}",
            partial(self._replace, open_claim, closed),
            size_bytes=size,
        )

    async def _replace(self, open_claim: OpenClaim, closed: Claim | None) -> bool:
        """Write the closed claim, unless the stored one has changed since."""
        value = claim_to_json(closed) if closed is not None else None
        result = await self._store.write(
            [Compare(open_claim.key, open_claim.mod_revision)],
            [
                Put(
                    open_claim.key,
                    value,
                    open_claim.claim.lease_id if closed is not None else 0,
                )
            ],
        )
        if not result.is_applied:
            # An earlier attempt of this write took effect, or an operator settled it.
            log.info("claim_not_changed", extra={"claim": open_claim.key})
        return True

    async def _shared_lease(self) -> int:
        now_ms = self._wall_ms()
        if self._lease is None or now_ms >= self._lease[1]:
            try:
                lease_id = await self._store.grant_lease(
                    RETENTION_S + LEASE_SHARING_MS // 1000
                )
            except RequestError as error:
                raise RequestError(
                    ErrorKind.CLAIM_UNAVAILABLE, "the store gave no lease"
                ) from error
            self._lease = (lease_id, now_ms + LEASE_SHARING_MS)
        return self._lease[0]

    async def _create(self, key: str, claim: Claim) -> OpenClaim | RecordedAnswer:
        result = await self._store.write(
            [Compare(key, 0)], [Put(key, claim_to_json(claim), claim.lease_id)]
        )
        if result.is_applied:
            return OpenClaim(key, claim, result.store_revision)
        if not result.found:
            raise RequestError(
                ErrorKind.CLAIM_UNAVAILABLE, "claim changed while it was read"
            )
        return self._claim_or_answer(claim, result.found[0])

    async def _read_back(self, key: str, claim: Claim) -> OpenClaim | RecordedAnswer:
        """Read the key after an unanswered write to see whether it took effect."""
        try:
            snapshot = await self._store.read(key)
        except RequestError as error:
            self._drop_later(key, claim)
            raise RequestError(
                ErrorKind.CLAIM_UNAVAILABLE, "the claim could not be settled"
            ) from error
        if not snapshot.items:
            self._drop_later(key, claim)
            raise RequestError(
                ErrorKind.CLAIM_UNAVAILABLE, "the claim was not taken in"
            )
        return self._claim_or_answer(claim, snapshot.items[0])

    def _drop_later(self, key: str, claim: Claim) -> None:
        """Delete a claim that may still appear; its request will not run."""
        repair = partial(self._drop_if_own, key, claim, trio.current_time())
        self.repairs.add(f"drop/{key}/{claim.attempt}", repair)

    async def _drop_if_own(self, key: str, claim: Claim, unanswered_s: float) -> bool:
        snapshot = await self._store.read(key)
        if not snapshot.items:
            return trio.current_time() - unanswered_s > LATE_WRITE_S_MAX
        found = snapshot.items[0]
        if claim_from_json(found.value).attempt != claim.attempt:
            return True
        open_claim = OpenClaim(key, claim, found.mod_revision)
        return await self._replace(open_claim, None)

    def _claim_or_answer(
        self, claim: Claim, found: KeyValue
    ) -> OpenClaim | RecordedAnswer:
        stored = claim_from_json(found.value)
        if stored.attempt == claim.attempt:
            return OpenClaim(found.key, claim, found.mod_revision)
        return answer_for_resend(stored, claim.fingerprint, wall_ms=self._wall_ms())

"""Operators' actions on claims: listing them and settling unknown outcomes."""

from typing import NamedTuple

from hemlocktrestle.claims._record import (
    CLAIM_PREFIX,
    Claim,
    ClaimState,
    claim_from_json,
    claim_to_json,
    is_abandoned,
)
from hemlocktrestle.errors import ErrorKind, RequestError
from hemlocktrestle.ports import Compare, KeyValue, Put, Store

_CLOSED_STATES = frozenset({ClaimState.DONE, ClaimState.SETTLED_RUN})


class ListedClaim(NamedTuple):
    """A claim as shown to operators; ``digest`` identifies the caller's key."""

    digest: str
    claim: Claim


async def list_claims(store: Store, customer: str) -> list[ListedClaim]:
    """Return the claims of a customer, the oldest first.

    Raises:
        RequestError: of kind ``STORE_UNAVAILABLE`` if the store gave no answer.
    """
    prefix = f"{CLAIM_PREFIX}{customer}/"
    snapshot = await store.read(prefix, is_prefix=True)
    listed = [
        ListedClaim(item.key.removeprefix(prefix), claim_from_json(item.value))
        for item in snapshot.items
    ]
    return sorted(listed, key=lambda entry: entry.claim.opened_ms)


async def settle_claim(
    store: Store, store_key: str, *, has_run: bool, wall_ms: int
) -> bool:
    """Close a claim whose outcome is unknown with what an operator has found out.

    Args:
        store: the key-value service.
        store_key: store key of the claim.
        has_run: whether the request took effect; if not, the key may be used again.
        wall_ms: the time in milliseconds since the epoch.

    Returns:
        Whether the store did not confirm the write and reading it back did.

    Raises:
        RequestError: ``SETTINGS_INVALID`` if there is no such claim;
            ``SETTINGS_CONFLICT`` if it is closed already or changed meanwhile;
            ``KEY_IN_PROGRESS`` if its request may still be dispatched;
            ``STORE_UNAVAILABLE`` if the store did not show whether it was settled.
    """
    item = await _read_claim(store, store_key)
    claim = claim_from_json(item.value)
    _check_can_be_settled(claim, wall_ms)
    settled = claim._replace(state=ClaimState.SETTLED_RUN)
    put = (
        Put(store_key, claim_to_json(settled), claim.lease_id)
        if has_run
        else Put(store_key, None)
    )
    try:
        result = await store.write([Compare(store_key, item.mod_revision)], [put])
    except RequestError:
        if not await _has_settled(store, store_key, claim, has_run=has_run):
            raise
        return True
    if not result.is_applied:
        raise RequestError(ErrorKind.SETTINGS_CONFLICT, "the claim changed meanwhile")
    return False


async def _read_claim(store: Store, store_key: str) -> KeyValue:
    snapshot = await store.read(store_key)
    if not snapshot.items:
        raise RequestError(ErrorKind.SETTINGS_INVALID, "no claim under this key")
    return snapshot.items[0]


def _check_can_be_settled(claim: Claim, wall_ms: int) -> None:
    if claim.state in _CLOSED_STATES:
        raise RequestError(
            ErrorKind.SETTINGS_CONFLICT, f"the claim is {claim.state.value} already"
        )
    if claim.state is ClaimState.OPEN and not is_abandoned(claim, wall_ms=wall_ms):
        raise RequestError(
            ErrorKind.KEY_IN_PROGRESS, "the work under this key may still run"
        )


async def _has_settled(
    store: Store, store_key: str, claim: Claim, *, has_run: bool
) -> bool:
    snapshot = await store.read(store_key)
    if not snapshot.items:
        return not has_run
    stored = claim_from_json(snapshot.items[0].value)
    is_same = stored.attempt == claim.attempt
    if has_run:
        return is_same and stored.state is ClaimState.SETTLED_RUN
    return not is_same

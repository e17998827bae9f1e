"""Sequential specifications of the objects that the authority of a zone manages."""

from __future__ import annotations

from typing import Any, TypeAlias

#: Job, claimant, and answer (None while the job is running) of each claimed job.
ClaimState: TypeAlias = frozenset[tuple[str, str, Any]]


def compare_and_set_register(value: Any, call: str, arguments: tuple[Any, ...]) -> tuple[Any, Any]:
    """Specify ``get()`` and ``set(expected, value)``, which returns whether it took effect."""
    if call == 'get':
        return value, value
    expected, new_value = arguments
    return (new_value, True) if value == expected else (value, False)


def claim_ledger(
    claims: ClaimState, call: str, arguments: tuple[Any, ...]
) -> tuple[ClaimState, Any]:
    """Specify a ledger of jobs that run at most once.

    ``claim(job, claimant)`` returns ``granted``, ``running`` or the stored answer;
    ``finish(job, claimant, answer)`` returns whether the claimant held the claim.
    """
    job, claimant = arguments[:2]
    existing_claim = next((each for each in claims if each[0] == job), None)
    if call == 'claim':
        if existing_claim is None:
            return claims | {(job, claimant, None)}, 'granted'
        return claims, 'running' if existing_claim[2] is None else existing_claim[2]
    if existing_claim is None or existing_claim[1] != claimant:
        return claims, False
    return claims - {existing_claim} | {(job, claimant, arguments[2])}, True


def fencing_register(
    highest: tuple[int, int], call: str, arguments: tuple[Any, ...]
) -> tuple[tuple[int, int], Any]:
    """Specify a target that refuses orders with an old fencing token.

    ``order(token)`` returns whether it is accepted; ``highest()`` returns the highest token.
    """
    if call == 'highest':
        return highest, highest
    token = arguments[0]
    return (token, True) if token > highest else (highest, False)

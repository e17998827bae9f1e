"""Sequential specifications of the objects that a zone's authority keeps."""

from __future__ import annotations

from typing import Any, TypeAlias

#: Job, claimant, and answer or None, for each claimed job.
ClaimState: TypeAlias = frozenset[tuple[str, str, Any]]


def compare_and_set_register(value: Any, call: str, arguments: tuple[Any, ...]) -> tuple[Any, Any]:
    """Specify ``get()`` and ``set(expected, value)``, which returns whether it took effect."""
    if call == 'get':
        return value, value
    expected, wanted = arguments
    return (wanted, True) if value == expected else (value, False)


def claim_ledger(
    claims: ClaimState, call: str, arguments: tuple[Any, ...]
) -> tuple[ClaimState, Any]:
    """Specify a ledger of jobs that run at most once.

    ``claim(job, claimant)`` returns ``granted``, ``running`` or the stored answer;
    ``finish(job, claimant, answer)`` returns whether the claimant held the claim.
    """
    job, claimant = arguments[:2]
    held = next((each for each in claims if each[0] == job), None)
    if call == 'claim':
        if held is None:
            return claims | {(job, claimant, None)}, 'granted'
        return claims, 'running' if held[2] is None else held[2]
    if held is None or held[1] != claimant:
        return claims, False
    return claims - {held} | {(job, claimant, arguments[2])}, True


def fencing_register(
    highest: tuple[int, int], call: str, arguments: tuple[Any, ...]
) -> tuple[tuple[int, int], Any]:
    """Specify a target that refuses orders with an old fencing number.

    ``order(number)`` returns whether it is accepted; ``highest()`` returns the last number.
    """
    if call == 'highest':
        return highest, highest
    number = arguments[0]
    return (number, True) if number > highest else (highest, False)

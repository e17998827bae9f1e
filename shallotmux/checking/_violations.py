"""Error raised when an invariant is violated."""

from __future__ import annotations

from shallotmux.errors import ShallotmuxError


class InvariantViolation(ShallotmuxError):
    """An invariant does not hold after a step.

    :param invariant: name of the invariant.
    """

    def __init__(self, invariant: str, message: str) -> None:
        super().__init__(f'{invariant}: {message}', step='explore')
        self.invariant = invariant

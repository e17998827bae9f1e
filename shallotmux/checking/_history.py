"""Checks whether a history is linearizable with respect to a sequential specification."""

from __future__ import annotations

from collections.abc import Callable, Hashable, Sequence
from dataclasses import dataclass, replace
from typing import Any, TypeAlias

#: Applies a call to a state; returns the next state and the result.
Specification: TypeAlias = Callable[[Any, str, tuple[Any, ...]], tuple[Hashable, Any]]


@dataclass(frozen=True, slots=True)
class Operation:
    """A call on a shared object.

    :param begin: position of the call in the history.
    :param end: position of the response, or None if there was none; such a call may have taken
        effect at any later time, or never.
    """

    call: str
    arguments: tuple[Any, ...]
    begin: int
    end: int | None = None
    result: Any = None


class History:
    """Calls and responses in the order in which they were observed."""

    def __init__(self) -> None:
        self.operations: list[Operation] = []
        self._position = 0

    def begin(self, call: str, arguments: tuple[Any, ...]) -> int:
        """Record a call and return its number."""
        self._position += 1
        self.operations.append(Operation(call, arguments, self._position))
        return len(self.operations) - 1

    def end(self, number: int, result: Any) -> None:
        """Record the response to a call."""
        self._position += 1
        self.operations[number] = replace(
            self.operations[number], end=self._position, result=result
        )


def is_linearizable(
    operations: Sequence[Operation], specification: Specification, initial: Hashable
) -> bool:
    """Return whether some order of the operations satisfies the specification and real-time order.

    Calls without a response that change no state according to the specification may be left out
    of the history. Uses the search of Wing and Gong, and visits each pair of completed operations
    and state only once.

    :param initial: state of the object before the history; states are hashable.
    """
    search = _Search(operations, specification)
    return search.run(initial)


class _Search:
    def __init__(self, operations: Sequence[Operation], specification: Specification) -> None:
        self._operations = operations
        self._specification = specification
        self._required = sum(
            1 << number for number, each in enumerate(operations) if each.end is not None
        )

    def run(self, initial: Hashable) -> bool:
        pending: list[tuple[int, Hashable]] = [(0, initial)]
        seen = set(pending)
        while pending:
            completed, state = pending.pop()
            if completed & self._required == self._required:
                return True
            successors = set(self._successors(completed, state)) - seen
            seen |= successors
            pending.extend(sorted(successors, key=_completed_count))
        return False

    def _successors(self, completed: int, state: Hashable) -> list[tuple[int, Hashable]]:
        remaining = [
            (number, each)
            for number, each in enumerate(self._operations)
            if not completed >> number & 1
        ]
        # An operation that begins after one of these has ended cannot precede it.
        earliest_end = min(each.end for _, each in remaining if each.end is not None)
        successors = []
        for number, operation in remaining:
            if operation.begin > earliest_end:
                continue
            next_state, result = self._specification(state, operation.call, operation.arguments)
            if operation.end is None or result == operation.result:
                successors.append((completed | 1 << number, next_state))
        return successors


def _completed_count(visited_pair: tuple[int, Hashable]) -> int:
    return visited_pair[0].bit_count()

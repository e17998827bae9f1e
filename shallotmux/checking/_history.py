"""Linearizability of a history against a sequential specification."""

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
    :param end: position of the answer, or None if none came; such a call may have taken effect
        at any later time, or never.
    """

    call: str
    arguments: tuple[Any, ...]
    begin: int
    end: int | None = None
    result: Any = None


class History:
    """Calls and answers in the order in which they were seen."""

    def __init__(self) -> None:
        self.operations: list[Operation] = []
        self._position = 0

    def begin(self, call: str, arguments: tuple[Any, ...]) -> int:
        """Record a call and return its number."""
        self._position += 1
        self.operations.append(Operation(call, arguments, self._position))
        return len(self.operations) - 1

    def end(self, number: int, result: Any) -> None:
        """Record the answer of a call."""
        self._position += 1
        self.operations[number] = replace(
            self.operations[number], end=self._position, result=result
        )


def is_linearizable(
    operations: Sequence[Operation], specification: Specification, initial: Hashable
) -> bool:
    """Return whether some order of the operations fits the specification and their overlap.

    An unanswered call that the specification lets change nothing need not be in the history.
    Searches as Wing and Gong describe, and remembers which pairs of done operations and state
    led nowhere.

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
            done, state = pending.pop()
            if done & self._required == self._required:
                return True
            following = set(self._following(done, state)) - seen
            seen |= following
            pending.extend(sorted(following, key=_done_count))
        return False

    def _following(self, done: int, state: Hashable) -> list[tuple[int, Hashable]]:
        open_operations = [
            (number, each) for number, each in enumerate(self._operations) if not done >> number & 1
        ]
        # Nothing that begins after an open operation has ended can come before it.
        limit = min(each.end for _, each in open_operations if each.end is not None)
        found = []
        for number, operation in open_operations:
            if operation.begin > limit:
                continue
            after, result = self._specification(state, operation.call, operation.arguments)
            if operation.end is None or result == operation.result:
                found.append((done | 1 << number, after))
        return found


def _done_count(visited: tuple[int, Hashable]) -> int:
    return visited[0].bit_count()

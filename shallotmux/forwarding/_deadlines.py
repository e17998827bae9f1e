"""Deadlines of the requests in progress, which the end of a drain may shorten."""

from __future__ import annotations

import math
from weakref import WeakSet

import trio


class RequestDeadlines:
    """Limits requests to their deadlines, and all of them to the end of the instance.

    A request that is cut with the process gets no answer; one whose deadline passes gets one that says
    truthfully whether it may have run.
    """

    def __init__(self) -> None:
        self._end_at = math.inf
        #: Scopes of the requests in progress; those of others are collected as garbage.
        self._scopes: WeakSet[trio.CancelScope] = WeakSet()

    @property
    def is_ending(self) -> bool:
        """Return whether an end was set, after which no request may last."""
        return self._end_at < math.inf

    def open_scope(self, deadline: float) -> trio.CancelScope:
        """Return a scope that ends at a local time, or earlier at the end of the instance."""
        scope = trio.CancelScope(deadline=min(deadline, self._end_at))
        self._scopes.add(scope)
        return scope

    def end_at(self, at: float) -> None:
        """Let no request last beyond a local time."""
        self._end_at = at
        for scope in self._scopes:
            scope.deadline = min(scope.deadline, at)

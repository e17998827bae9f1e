"""The time for which a connection waits for its other end."""

from __future__ import annotations

from dataclasses import dataclass

import trio


@dataclass(slots=True)
class PeerWait:
    """The time for which a connection has waited for its other end.

    :param since: when it began to wait, or the other end was last seen to read; None if it does not wait.
    """

    since: float | None = None
    _unacknowledged: int = 0

    def begin(self) -> None:
        """Begin to wait."""
        self.since = trio.current_time()

    def end(self) -> None:
        """Stop waiting."""
        self.since = None

    def lasted_s(self, now: float, unacknowledged: int) -> float:
        """Return how long the other end has neither sent nor read anything.

        :param unacknowledged: sent bytes that the other end has not acknowledged. If their number has
            changed since it was last seen, the other end reads.
        """
        if self.since is None:
            return 0
        if unacknowledged != self._unacknowledged:
            self._unacknowledged = unacknowledged
            self.since = now
        return now - self.since

"""What peers tell of the leader while the own replica knows none."""

from __future__ import annotations

import math

from shallotmux.control._timeouts import ELECTION_MAX_S
from shallotmux.fleet import JoinAnswer

#: Time of an unsuccessful search after which there is no leader, rather than an election that is under
#: way.
SEARCH_S = ELECTION_MAX_S


class LeaderSearch:
    """Collects the answers of peers in rounds.

    :param name: name of the own instance, which is not asked.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._began_at = math.inf
        self._term = 0
        self._is_named_in_round = False
        #: Name of the leader by the newest answer; empty if no peer knows one.
        self.leader = ''

    def begin_round(self, now: float) -> None:
        """Start to ask all peers."""
        self._began_at = min(self._began_at, now)
        self._is_named_in_round = False

    def record(self, answer: JoinAnswer) -> None:
        """Record the answer of a peer; of several leaders, the one of the highest term counts."""
        if answer.leader in {'', self._name}:
            return
        if self._is_named_in_round and answer.term < self._term:
            return
        self._is_named_in_round = True
        self._term = answer.term
        self.leader = answer.leader

    def end_round(self) -> None:
        """Forget the leader unless a peer has named one in this round."""
        if self._is_named_in_round:
            self._began_at = math.inf
        else:
            self.leader = ''

    def stop(self) -> None:
        """End the search, as the replica knows a leader."""
        self._began_at = math.inf
        self.leader = ''

    def has_failed(self, now: float) -> bool:
        """Return whether no peer has named a leader for longer than an election takes."""
        return not self.leader and now - self._began_at >= SEARCH_S

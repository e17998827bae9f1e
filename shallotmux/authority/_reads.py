"""Reads that a majority confirms."""

from __future__ import annotations

from collections.abc import Iterable

from shallotmux.authority._driver_inputs import Proposal
from shallotmux.authority._group_state import GroupState
from shallotmux.authority._state import encode_result
from shallotmux.errors import NotLeader
from shallotmux.replication import ReadReady, Replica
from shallotmux.transport import ForwardAnswer, Refusal

#: Reason of a refusal for lack of a majority.
NO_QUORUM = 'no quorum answered in time'


class ConfirmedReads:
    """Reads of the local state, each confirmed by a majority after it was requested.

    A lease would answer them without a message. It is measured by a clock that may stand still, unnoticed,
    while the machine does.
    """

    def __init__(self, replica: Replica, state: GroupState) -> None:
        self._replica = replica
        self._state = state
        self._new: list[Proposal] = []
        self._waiting: dict[int, list[Proposal]] = {}

    def add(self, proposal: Proposal) -> None:
        """Add a read to those that start together."""
        self._new.append(proposal)

    def start(self, now: float) -> None:
        """Ask a majority to confirm that this instance leads, once for all new reads."""
        started = self._new
        if not started:
            return
        self._new = []
        try:
            token = self._replica.read_index(now, uses_lease=False)
        except NotLeader as error:
            _refuse(started, error.message)
        else:
            self._waiting[token] = started
            for proposal in started:
                proposal.answer = ForwardAnswer(refusal=Refusal.NOT_COMMITTED, detail=NO_QUORUM)

    def answer(self, confirmed: Iterable[ReadReady]) -> None:
        """Answer confirmed reads from the local state, which has applied their index."""
        for each in confirmed:
            for proposal in self._waiting.pop(each.token, ()):
                if proposal.read is not None:
                    result = self._state.zone.apply(proposal.read)
                    proposal.finish(ForwardAnswer(encode_result(result)))

    def drop(self) -> None:
        """Refuse all reads, as leadership was lost."""
        for proposals in self._waiting.values():
            _refuse(proposals, 'leadership was lost')
        self._waiting.clear()


def _refuse(proposals: Iterable[Proposal], detail: str) -> None:
    for proposal in proposals:
        proposal.finish(ForwardAnswer(refusal=Refusal.NOT_COMMITTED, detail=detail))

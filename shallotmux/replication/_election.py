"""Pre-vote and election."""

from __future__ import annotations

from shallotmux.replication._handover import offer_log
from shallotmux.replication._messages import VoteReply, VoteRequest
from shallotmux.replication._model import Role
from shallotmux.replication._state import ReplicaState


class Election:
    """Campaigns of a replica, and its answers to the campaigns of others."""

    def __init__(self, state: ReplicaState) -> None:
        self._state = state
        self._granted: set[str] = set()
        self._is_transfer = False

    def start_pre_vote(self) -> None:
        """Ask whether an election could be won, without raising the term."""
        state = self._state
        state.restart_election_timer()
        if not state.configuration.may_lead(state.name):
            return
        state.campaign_as(Role.PRE_CANDIDATE)
        state.retry_election_soon()
        self._is_transfer = False
        self._ask(state.term + 1, is_pre_vote=True)

    def start_election(self, *, is_transfer: bool = False) -> None:
        """Enter the next term and ask for votes."""
        state = self._state
        if state.role is Role.LEADER:
            return
        state.restart_election_timer()
        if not state.configuration.may_lead(state.name):
            return
        state.enter_term(state.term + 1, state.name)
        state.campaign_as(Role.CANDIDATE)
        self._is_transfer = is_transfer
        self._ask(state.term, is_pre_vote=False)

    def answer(self, sender: str, request: VoteRequest) -> None:
        """Grant or refuse a vote."""
        state = self._state
        if request.is_pre_vote:
            granted = request.term > state.term and self._is_acceptable(request)
            term = request.term if granted else state.term
            state.send(sender, VoteReply(term, granted, is_pre_vote=True))
            return
        is_covered = state.log.is_covered_by(request.last_term, request.last_index)
        granted = is_covered and self._may_vote_for(sender, request)
        if granted:
            state.enter_term(state.term, sender)
            state.restart_election_timer()
        state.send(sender, VoteReply(state.term, granted))
        if not is_covered and self._is_witness():
            offer_log(state, sender, request)

    def count(self, sender: str, reply: VoteReply) -> None:
        """Count a vote; a won pre-vote starts the election."""
        state = self._state
        expected_role = Role.PRE_CANDIDATE if reply.is_pre_vote else Role.CANDIDATE
        expected_term = state.term + 1 if reply.is_pre_vote else state.term
        if state.role is not expected_role or reply.term != expected_term or not reply.granted:
            return
        self._granted.add(sender)
        if reply.is_pre_vote and self.is_won():
            self.start_election()

    def is_won(self) -> bool:
        """Return whether a majority of the voters granted the current campaign."""
        configuration = self._state.configuration
        return len(self._granted & configuration.voters) >= configuration.majority

    def is_disruptive(self, request: VoteRequest) -> bool:
        """Return whether a vote request must be ignored for the sake of a leader's lease.

        A leader ignores it too; without a quorum it steps down by itself.
        """
        state = self._state
        is_quiet = state.now < state.quiet_until or state.role is Role.LEADER
        return is_quiet and not request.is_transfer

    def _ask(self, term: int, *, is_pre_vote: bool) -> None:
        state = self._state
        self._granted = {state.name}
        log = state.log
        request = VoteRequest(
            term, log.last_index, log.last_term, state.commit_index, is_pre_vote, self._is_transfer
        )
        for voter in sorted(state.configuration.voters - {state.name}):
            state.send(voter, request)
        if is_pre_vote and self.is_won():
            self.start_election()

    def _may_vote_for(self, sender: str, request: VoteRequest) -> bool:
        state = self._state
        is_free = state.hard_state.vote in {None, sender}
        return request.term == state.term and is_free and state.role is Role.FOLLOWER

    def _is_acceptable(self, request: VoteRequest) -> bool:
        """Return whether a pre-vote is granted.

        A witness grants it to a candidate whose log is older, too: in the election that follows it
        refuses the vote and offers its log, without which nobody might be elected.
        """
        if self.is_disruptive(request):
            return False
        is_covered = self._state.log.is_covered_by(request.last_term, request.last_index)
        return is_covered or self._is_witness()

    def _is_witness(self) -> bool:
        return self._state.name in self._state.configuration.witnesses

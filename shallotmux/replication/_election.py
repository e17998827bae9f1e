"""Pre-vote and election."""

from __future__ import annotations

from shallotmux.replication._log_offer import send_log_offer
from shallotmux.replication._messages import VoteReply, VoteRequest
from shallotmux.replication._model import Role
from shallotmux.replication._state import ReplicaState


class Election:
    """Campaigns of a replica, and its replies to the vote requests of others."""

    def __init__(self, state: ReplicaState) -> None:
        self._state = state
        self._granted: set[str] = set()
        self._is_transfer = False

    def start_pre_vote(self) -> None:
        """Ask for votes without raising the term, to learn whether an election could be won.

        A member that may not lead only forgets the leader, which has been silent for too long.
        """
        state = self._state
        state.restart_election_timer()
        if not state.configuration.may_lead(state.name):
            state.leader = None
            return
        state.become_candidate(Role.PRE_CANDIDATE)
        state.retry_election_soon()
        self._is_transfer = False
        self._request_votes(state.term + 1, is_pre_vote=True)

    def start_election(self, *, is_transfer: bool = False) -> None:
        """Enter the next term and request votes."""
        state = self._state
        if state.role is Role.LEADER:
            return
        if not state.configuration.may_lead(state.name):
            state.restart_election_timer()
            return
        state.await_votes()
        state.enter_term(state.term + 1, state.name)
        state.become_candidate(Role.CANDIDATE)
        self._is_transfer = is_transfer
        self._request_votes(state.term, is_pre_vote=False)

    def handle_request(self, sender: str, request: VoteRequest) -> None:
        """Reply to a vote request or a pre-vote request."""
        state = self._state
        if request.is_pre_vote:
            granted = request.term > state.term and self._is_acceptable(request)
            term = request.term if granted else state.term
            state.send(sender, VoteReply(term, granted, is_pre_vote=True))
            return
        is_up_to_date = state.log.is_no_newer_than(request.last_term, request.last_index)
        granted = is_up_to_date and self._may_vote_for(sender, request)
        if granted:
            state.enter_term(state.term, sender)
            state.restart_election_timer()
        state.send(sender, VoteReply(state.term, granted))
        if not is_up_to_date and self._is_witness():
            send_log_offer(state, sender, request)

    def record_vote(self, sender: str, reply: VoteReply) -> None:
        """Record a vote; a won pre-vote starts the election."""
        state = self._state
        state.contacts.record_answer(sender, state.now)
        campaign_role = Role.PRE_CANDIDATE if reply.is_pre_vote else Role.CANDIDATE
        campaign_term = state.term + 1 if reply.is_pre_vote else state.term
        if state.role is not campaign_role or reply.term != campaign_term or not reply.granted:
            return
        self._granted.add(sender)
        if reply.is_pre_vote and self.is_won():
            self.start_election()

    def is_won(self) -> bool:
        """Return whether a majority of the voters granted the current campaign."""
        configuration = self._state.configuration
        return len(self._granted & configuration.voters) >= configuration.majority

    def is_disruptive(self, request: VoteRequest) -> bool:
        """Return whether a vote request must be ignored, since a leader may hold a lease.

        A leader ignores it as well; it steps down by itself when it loses its quorum.
        """
        state = self._state
        has_recent_leader = state.now < state.no_vote_until or state.role is Role.LEADER
        return has_recent_leader and not request.is_transfer

    def _request_votes(self, term: int, *, is_pre_vote: bool) -> None:
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
        is_vote_available = state.hard_state.vote in {None, sender}
        return request.term == state.term and is_vote_available and state.role is Role.FOLLOWER

    def _is_acceptable(self, request: VoteRequest) -> bool:
        """Return whether a pre-vote is granted.

        A witness also grants it to a candidate with an older log: in the election that follows, it
        refuses the vote and sends its log, without which no candidate might be able to win.
        """
        if self.is_disruptive(request):
            return False
        is_up_to_date = self._state.log.is_no_newer_than(request.last_term, request.last_index)
        return is_up_to_date or self._is_witness()

    def _is_witness(self) -> bool:
        return self._state.name in self._state.configuration.witnesses

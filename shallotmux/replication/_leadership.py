"""Duties of a leader: replication, commit, reads, lease and membership."""

from __future__ import annotations

from shallotmux.errors import MembershipRefused
from shallotmux.replication._contacts import report_silences
from shallotmux.replication._membership import change_configuration
from shallotmux.replication._messages import AppendReply, TimeoutNow
from shallotmux.replication._model import (
    Configuration,
    Entry,
    EntryKind,
    FollowerStatus,
    MembershipChange,
    PromoteLearner,
    ReadReady,
    Role,
    encode_configuration,
)
from shallotmux.replication._progress import Progress
from shallotmux.replication._quorum import committed_index, majority_value
from shallotmux.replication._state import NEVER, ReplicaState


class Leadership:
    """State of a leader during its term."""

    def __init__(self, state: ReplicaState) -> None:
        self._state = state
        state.role = Role.LEADER
        state.leader = state.name
        self._started_at = state.now
        self._round = 0
        self._heartbeat_due = state.now
        self._followers: dict[str, Progress] = {}
        #: When each follower was last heard of before it acknowledged a heartbeat of this leader.
        self._heard_before: dict[str, float] = {}
        self._pending_reads: list[tuple[int, int]] = []
        self._transfer_target: str | None = None
        self._transfer_deadline = NEVER
        self._has_released_lease = False
        self._update_followers()
        self._recall_contacts()
        #: First entry of this term; once committed, all entries of earlier terms are committed.
        self._term_start_index = self.append(EntryKind.TERM_START, b'')[0]
        self.send_heartbeats()

    @property
    def is_transferring(self) -> bool:
        """Return whether a leadership transfer is in progress."""
        return self._transfer_target is not None

    def tick(self) -> None:
        """Send heartbeats that are due; step down if the quorum is lost."""
        state = self._state
        last_quorum = max(self.quorum_contact(), self._started_at)
        if state.now - last_quorum > state.options.election_max_s:
            state.become_follower(state.term, None)
        elif self.is_transferring and state.now >= self._transfer_deadline:
            self._abort_transfer()
        elif state.now >= self._heartbeat_due:
            self.send_heartbeats()

    def send_heartbeats(self) -> None:
        """Start a heartbeat round."""
        self._round += 1
        self._heartbeat_due = self._state.now + self._state.options.heartbeat_s
        self._report_silences()
        for follower in self._followers.values():
            follower.send_heartbeat(self._state, self._round)

    def send_pending(self) -> None:
        """Send followers the entries and the commit index that they lack, within flow control."""
        for follower in self._followers.values():
            follower.send_pending(self._state, self._round)

    def append(self, kind: EntryKind, payload: bytes) -> tuple[int, int]:
        """Append an entry to the local log and return its index and term."""
        state = self._state
        entry = Entry(state.log.last_index + 1, state.term, kind, payload)
        state.log.append(entry)
        return entry.index, entry.term

    def record_reply(self, sender: str, reply: AppendReply) -> None:
        """Process the reply of a follower."""
        follower = self._followers.get(sender)
        if follower is None:
            return
        follower.record(reply)
        if reply.accepted:
            self.advance_commit()
            self._continue_transfer()
        elif follower.step_back(self._state, reply):
            follower.send_heartbeat(self._state, self._round)
        self._answer_reads()

    def advance_commit(self) -> None:
        """Commit the entries that a quorum holds; step down if this removes the leader."""
        state = self._state
        match_indexes = {name: each.match_index for name, each in self._followers.items()}
        match_indexes[state.name] = state.log.persisted_index
        index = committed_index(state.configuration, match_indexes)
        if index <= state.commit_index or not self.may_commit(index):
            return
        state.commit_index = index
        self._answer_reads()
        is_configuration_committed = state.log.configuration_index <= index
        if is_configuration_committed and state.name not in state.configuration.voters:
            self.send_pending()
            state.become_follower(state.term, None)

    def may_commit(self, index: int) -> bool:
        """Return whether an entry may be committed because a quorum holds it.

        An entry of an earlier term may still be replaced by a later leader; it is committed only
        together with a later entry of the leader's own term.
        """
        return self._state.log.term_at(index) == self._state.term

    def quorum_contact(self) -> float:
        """Return the send time of the newest heartbeat round acknowledged by a majority."""
        acked = {name: each.acked_at for name, each in self._followers.items()}
        acked[self._state.name] = self._state.now
        return majority_value(self._state.configuration, acked)

    def followers(self) -> dict[str, FollowerStatus]:
        """Return the replication status of each follower."""
        return {
            name: FollowerStatus(each.match_index, each.acked_at, self._heard_at(each))
            for name, each in self._followers.items()
        }

    def lease_end(self) -> float:
        """Return the local time at which the lease ends, or ``NEVER`` if it was released."""
        if self._has_released_lease:
            return NEVER
        return self.quorum_contact() + self._state.options.lease_length_s

    def add_read(self, token: int, *, uses_lease: bool) -> None:
        """Answer a read at once if the lease holds, otherwise after the next heartbeat round."""
        has_lease = uses_lease and self._state.now < self.lease_end()
        if has_lease and self._is_term_start_committed():
            self._state.reads.append(ReadReady(token, self._state.commit_index))
            return
        self.send_heartbeats()
        self._pending_reads.append((token, self._round))
        self._answer_reads()

    def transfer(self, target: str) -> None:
        """Transfer leadership to a voter as soon as its log is complete.

        :raises MembershipRefused: if the target may not lead.
        """
        state = self._state
        if target == state.name or not state.configuration.may_lead(target):
            raise MembershipRefused(f'{target!r} cannot take over', step='transfer')
        self._transfer_target = target
        self._transfer_deadline = state.now + state.options.election_max_s
        self._continue_transfer()

    def change_membership(self, change: MembershipChange) -> tuple[int, int]:
        """Append the configuration after a change.

        :raises MembershipRefused: if another change is pending, no entry of this term is committed
            yet, or the change is not valid for the current configuration.
        """
        state = self._state
        is_change_pending = state.log.configuration_index > state.commit_index
        if is_change_pending or not self._is_term_start_committed():
            raise MembershipRefused('an earlier change is not committed', step='change membership')
        if isinstance(change, PromoteLearner):
            self._check_caught_up(change.name)
        changed = change_configuration(state.configuration, change)
        return self._append_configuration(changed)

    def _append_configuration(self, changed: Configuration) -> tuple[int, int]:
        position = self.append(EntryKind.CONFIGURATION, encode_configuration(changed))
        self._update_followers()
        return position

    def _check_caught_up(self, name: str) -> None:
        follower = self._followers.get(name)
        allowed = self._state.commit_index - self._state.options.max_batch_entries
        if follower is None or follower.match_index < max(allowed, 1):
            raise MembershipRefused(f'{name!r} has not caught up', step='change membership')

    def _update_followers(self) -> None:
        others = self._state.configuration.members - {self._state.name}
        next_index = self._state.log.last_index + 1
        known = self._followers
        self._followers = {
            name: known.get(name) or Progress(name, next_index) for name in sorted(others)
        }
        self._heard_before = {
            name: self._heard_before.get(name, self._state.now) for name in self._followers
        }

    def _recall_contacts(self) -> None:
        """Take over what is known of when the followers were heard of before this leadership.

        After a long time without a leader, as after a cut that has healed, more than single members
        were out of reach and may need seconds to connect again; their silence is counted anew.
        """
        contacts = self._state.contacts
        longest_election_s = 2 * self._state.options.election_max_s
        if self._state.now - contacts.reported_at <= longest_election_s:
            self._heard_before = {name: contacts.heard_at(name) for name in self._followers}

    def _heard_at(self, follower: Progress) -> float:
        return max(follower.acked_at, self._heard_before[follower.name])

    def _report_silences(self) -> None:
        """Name the silent followers in the next heartbeats, and remember them if this term ends."""
        state = self._state
        heard_at = {name: self._heard_at(each) for name, each in self._followers.items()}
        state.silences = report_silences(heard_at, state.now, state.options.election_min_s)
        state.contacts.record_report(state.silences, state.now)

    def _is_term_start_committed(self) -> bool:
        return self._state.commit_index >= self._term_start_index

    def _answer_reads(self) -> None:
        if not self._pending_reads or not self._is_term_start_committed():
            return
        rounds = {name: each.acked_round for name, each in self._followers.items()}
        rounds[self._state.name] = self._round
        answered = majority_value(self._state.configuration, rounds)
        index = self._state.commit_index
        ready = [token for token, needed in self._pending_reads if needed <= answered]
        self._pending_reads = [each for each in self._pending_reads if each[1] > answered]
        self._state.reads.extend(ReadReady(token, index) for token in ready)

    def _continue_transfer(self) -> None:
        """Make the target start an election once its log is complete.

        Voters do not wait for the election timeout in this election, and a delayed message may
        start it at any time, so the lease is released for the rest of the term.
        """
        state = self._state
        follower = self._followers.get(self._transfer_target or '')
        if follower is None or self._has_released_lease:
            return
        if follower.match_index == state.log.last_index:
            self._has_released_lease = True
            state.send(follower.name, TimeoutNow(state.term))

    def _abort_transfer(self) -> None:
        """Resume leading after a failed transfer, or step down if the lease was released."""
        self._transfer_target = None
        if self._has_released_lease:
            self._state.become_follower(self._state.term, None)

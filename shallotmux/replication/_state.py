"""State shared by the parts of a replica: election, follower and leader."""

from __future__ import annotations

from random import Random

from shallotmux.replication._contacts import NEVER, Contacts
from shallotmux.replication._log import ReplicaLog
from shallotmux.replication._messages import Envelope, MemberSilence, Message
from shallotmux.replication._model import (
    Configuration,
    HardState,
    ReadReady,
    ReplicaOptions,
    Role,
    Snapshot,
    StoredGroup,
)

__all__ = ('NEVER', 'ReplicaState')


class ReplicaState:
    """Term, vote, log and timers of one replica, and its queued messages."""

    def __init__(
        self, name: str, stored: StoredGroup, options: ReplicaOptions, random: Random, now: float
    ) -> None:
        self.name = name
        self.options = options
        self.now = now
        self.log = ReplicaLog(stored)
        self.hard_state = stored.hard_state
        self.is_hard_state_unsaved = False
        self.commit_index = stored.snapshot.index if stored.snapshot else 0
        #: Last committed index delivered to the driver.
        self.delivered_index = self.commit_index
        self.unsaved_snapshot: Snapshot | None = None
        self.role = Role.FOLLOWER
        self.leader: str | None = None
        self.last_contact = NEVER
        self.contacts = Contacts()
        #: Silent members, as this replica reports them while it leads.
        self.silences: tuple[MemberSilence, ...] = ()
        #: No vote is granted before this time. After a restart, a voter does not know when it last
        #: replied to a leader, which may hold a lease that depends on this reply.
        self.no_vote_until = now + options.election_min_s
        self.messages: list[Envelope] = []
        self.reads: list[ReadReady] = []
        self._random = random
        self._is_next_election_long = False
        self.election_deadline = now
        self.restart_election_timer()

    @property
    def term(self) -> int:
        """Return the current term."""
        return self.hard_state.term

    @property
    def configuration(self) -> Configuration:
        """Return the latest configuration in the log."""
        return self.log.configuration

    def send(self, recipient: str, message: Message) -> None:
        """Queue a message."""
        self.messages.append(Envelope(self.name, recipient, message))

    def enter_term(self, term: int, vote: str | None = None) -> None:
        """Set term and vote; both become durable before the next message is sent."""
        self.hard_state = HardState(term, vote)
        self.is_hard_state_unsaved = True

    def become_follower(self, term: int, leader: str | None) -> None:
        """Become a follower, and enter the term if it is newer."""
        if term > self.term:
            self.enter_term(term)
        self.role = Role.FOLLOWER
        self.leader = leader

    def restore(self, snapshot: Snapshot) -> None:
        """Install a snapshot of the leader in place of the committed part of the log."""
        self.log.restore(snapshot)
        self.commit_index = snapshot.index
        self.delivered_index = snapshot.index
        self.unsaved_snapshot = snapshot

    def become_candidate(self, role: Role) -> None:
        """Become a candidate or pre-candidate."""
        self.role = role
        self.leader = None

    def record_leader_contact(self, leader: str) -> None:
        """Record a message of the current term's leader and restart the timers."""
        self.become_follower(self.term, leader)
        self.last_contact = self.now
        self._is_next_election_long = False
        self.no_vote_until = self.now + self.options.election_min_s
        self.restart_election_timer()

    def restart_election_timer(self) -> None:
        """Set a random election timeout."""
        timeout = self._random.uniform(self.options.election_min_s, self.options.election_max_s)
        self.election_deadline = self.now + timeout

    def await_votes(self) -> None:
        """Set the timeout of an election of this replica.

        If candidates split the votes, each of them waits for this time. No voter has a leader then, so
        the time only needs to exceed that in which votes are stored and answered. On slow disks that
        takes longer, so every second election in a row has a whole election timeout.
        """
        self._is_next_election_long = not self._is_next_election_long
        if not self._is_next_election_long:
            self.restart_election_timer()
            return
        longest = self.options.election_min_s
        self.election_deadline = self.now + self._random.uniform(longest / 2, longest)

    def retry_election_soon(self) -> None:
        """Set a short timeout for the next pre-vote.

        Voters that recently received a heartbeat refuse a pre-vote. Since a pre-vote does not raise
        the term, it can be retried before a whole election timeout has passed, which shortens the
        longest failovers.
        """
        max_timeout = self.options.election_min_s / 2
        self.election_deadline = self.now + self._random.uniform(max_timeout / 2, max_timeout)

"""State shared by the parts of a replica: election, following and leading."""

from __future__ import annotations

from random import Random

from shallotmux.replication._log import ReplicaLog
from shallotmux.replication._messages import Envelope, Message
from shallotmux.replication._model import (
    Configuration,
    HardState,
    ReadReady,
    ReplicaOptions,
    Role,
    Snapshot,
    StoredGroup,
)

#: Local time of an event that has not happened.
NEVER = float('-inf')


class ReplicaState:
    """Term, vote, log and timers of one replica, and the messages that wait to be sent."""

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
        #: Last committed entry handed to the driver.
        self.delivered_index = self.commit_index
        self.unsaved_snapshot: Snapshot | None = None
        self.role = Role.FOLLOWER
        self.leader: str | None = None
        self.last_contact = NEVER
        #: No vote is granted before this time. A restarted voter does not know when it last
        #: heard from a leader, and that leader may hold a lease that rests on its answer.
        self.quiet_until = now + options.election_min_s
        self.messages: list[Envelope] = []
        self.reads: list[ReadReady] = []
        self._random = random
        self.election_deadline = now
        self.restart_election_timer()

    @property
    def term(self) -> int:
        """Return the current term."""
        return self.hard_state.term

    @property
    def configuration(self) -> Configuration:
        """Return the newest configuration in the log."""
        return self.log.configuration

    def send(self, recipient: str, message: Message) -> None:
        """Queue a message."""
        self.messages.append(Envelope(self.name, recipient, message))

    def enter_term(self, term: int, vote: str | None = None) -> None:
        """Change term or vote; both are durable before the next message is sent."""
        self.hard_state = HardState(term, vote)
        self.is_hard_state_unsaved = True

    def follow(self, term: int, leader: str | None) -> None:
        """Become a follower, of a leader if it is known."""
        if term > self.term:
            self.enter_term(term)
        self.role = Role.FOLLOWER
        self.leader = leader

    def restore(self, snapshot: Snapshot) -> None:
        """Replace the committed part of the log by a snapshot."""
        self.log.restore(snapshot)
        self.commit_index = snapshot.index
        self.delivered_index = snapshot.index
        self.unsaved_snapshot = snapshot

    def campaign_as(self, role: Role) -> None:
        """Become a candidate of some kind, without a leader."""
        self.role = role
        self.leader = None

    def note_leader_contact(self, leader: str) -> None:
        """Take note of a message of the current term's leader."""
        self.follow(self.term, leader)
        self.last_contact = self.now
        self.quiet_until = self.now + self.options.election_min_s
        self.restart_election_timer()

    def restart_election_timer(self) -> None:
        """Draw the next election timeout."""
        timeout = self._random.uniform(self.options.election_min_s, self.options.election_max_s)
        self.election_deadline = self.now + timeout

    def retry_election_soon(self) -> None:
        """Set a short timeout for the next pre-vote.

        Voters that still hold a leader's heartbeat refuse a pre-vote. As it raises no term, it is
        repeated well before a whole election timeout, which shortens the longest failovers.
        """
        longest = self.options.election_min_s / 2
        self.election_deadline = self.now + self._random.uniform(longest / 2, longest)

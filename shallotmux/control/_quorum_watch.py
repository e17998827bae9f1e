"""Tells since when a control instance has no leader, and which voters it does not hear."""

from __future__ import annotations

from dataclasses import dataclass

import trio
from eliot import log_message

from shallotmux.control._member import CONTROL_GROUP, ControlMember
from shallotmux.replication import Role

#: Time without contact to a leader after which the quorum counts as lost. It is longer than the
#: elections that usually follow the loss of a leader.
LOST_AFTER_S = 3.0

#: Time without a message after which a voter counts as silent. Without a leader, each voter asks the
#: others for votes about once a second.
SILENT_AFTER_S = 3.0

#: Interval between two lines while the quorum is lost; doubled from line to line up to the maximum.
FIRST_REPEAT_S = 10.0
MAX_REPEAT_S = 60.0

CHECK_INTERVAL_S = 0.5


@dataclass(slots=True)
class _Loss:
    """A time without a quorum.

    :param since: local time of the last contact with a leader.
    :param next_line_at: local time of the next line about it.
    """

    since: float
    next_line_at: float
    repeat_s: float = FIRST_REPEAT_S


class QuorumWatch:
    """Writes a line when the quorum is lost, while it stays lost, and when it is regained."""

    def __init__(self, member: ControlMember) -> None:
        self._member = member
        self._started_at = trio.current_time()
        self._leader_seen_at = self._started_at
        self._loss: _Loss | None = None

    @property
    def is_lost(self) -> bool:
        """Return whether there has been no leader for longer than an election takes."""
        return self.without_leader_s() >= LOST_AFTER_S

    def without_leader_s(self) -> float:
        """Return the time since the last contact with a leader, or since the start."""
        status = self._member.driver.status()
        if status.role is Role.LEADER or status.leader is not None:
            self._leader_seen_at = max(self._leader_seen_at, status.last_leader_contact)
        return max(0, trio.current_time() - self._leader_seen_at)

    async def run(self) -> None:
        """Check for a leader until cancelled."""
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            self._check()

    def _check(self) -> None:
        now = trio.current_time()
        if not self.is_lost:
            if self._loss is not None:
                self._log_regained(now - self._loss.since)
            self._loss = None
            return
        if self._loss is None:
            self._loss = _Loss(self._leader_seen_at, now)
        if now >= self._loss.next_line_at:
            self._log_lost(now)
            self._loss.next_line_at = now + self._loss.repeat_s
            self._loss.repeat_s = min(2 * self._loss.repeat_s, MAX_REPEAT_S)

    def _log_lost(self, now: float) -> None:
        voters = self._member.driver.status().configuration.voters
        identity = self._member.identity
        silent: dict[str, float] = {}
        # Voters ask each other for votes; nobody does so with a member that has no vote.
        if identity in voters:
            silent = self._silences(voters - {identity}, now)
        log_message(
            message_type='shallotmux:quorum-lost',
            level='error',
            group=CONTROL_GROUP,
            without_leader_s=round(self.without_leader_s(), 1),
            voters=sorted(voters),
            votes=identity in voters,
            silent_s=silent,
            needed=len(voters) // 2 + 1,
            answering=self._member.answering_peers(SILENT_AFTER_S),
        )

    def _silences(self, voters: frozenset[str], now: float) -> dict[str, float]:
        """Return the voters that are silent, and for how long."""
        heard_at = self._member.driver.heard_at
        silences = {
            each: now - max(heard_at.get(each, self._started_at), self._started_at)
            for each in sorted(voters)
        }
        return {
            voter: round(silence_s, 1)
            for voter, silence_s in silences.items()
            if silence_s >= SILENT_AFTER_S
        }

    def _log_regained(self, lasted_s: float) -> None:
        status = self._member.driver.status()
        log_message(
            message_type='shallotmux:quorum-regained',
            group=CONTROL_GROUP,
            leader=status.leader,
            term=status.term,
            lasted_s=round(lasted_s, 1),
        )

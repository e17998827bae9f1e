"""Times after which members of the control group that do not answer are replaced."""

from __future__ import annotations

from dataclasses import dataclass

#: Longest election timeout of the group. A member that heard of no leader for this time takes none for
#: known, and a search of the same length finds the next one unless there is none.
ELECTION_MAX_S = 1.4

#: Time in which 99 of 100 elections after the loss of a leader are over, with the options of the group.
TAKEOVER_S = 1.7

#: Time for the two changes of the membership that replace a voter.
EXCHANGE_S = 0.4

#: Time left for a slow instance or disk.
RESERVE_S = 0.5

#: Limits of the silence after which a voter is replaced. Instances are often silent for a shorter time:
#: while they restart, or reconnect after a cut.
MIN_REPLACE_AFTER_S = 1.5
MAX_REPLACE_AFTER_S = 5.0


@dataclass(frozen=True, slots=True)
class MemberTimeouts:
    """Timeouts without an answer from a member, in seconds.

    :param live_timeout_s: age of the last answer up to which a follower counts as live.
    :param replace_after_s: time after which a silent voter is replaced by a learner, also if it was
        silent to earlier leaders.
    :param observe_s: time for which a new leader waits for answers before it replaces a voter.
    :param remove_after_s: time after which a silent learner is removed.
    """

    live_timeout_s: float = 1.0
    replace_after_s: float = MAX_REPLACE_AFTER_S
    observe_s: float = 0.8
    remove_after_s: float = 20.0


def choose_timeouts(tolerated: int, replacement_s: float) -> MemberTimeouts:
    """Return the longest timeouts with which the group bears the next loss in time.

    The worst case is the loss of a voter, followed by that of each leader that is about to replace it:
    docs/replication.md, section 7.

    :param replacement_s: time after which a lost instance must not count any more.
    """
    exchanges_s = EXCHANGE_S + (tolerated - 1) * longest_handover_s()
    silence_s = replacement_s - RESERVE_S - exchanges_s
    return MemberTimeouts(
        replace_after_s=min(max(silence_s, MIN_REPLACE_AFTER_S), MAX_REPLACE_AFTER_S)
    )


def longest_replacement_s(tolerated: int, timeouts: MemberTimeouts) -> float:
    """Return the longest time from a loss until one more is borne, beside the other tolerated losses."""
    first_s = max(timeouts.replace_after_s, TAKEOVER_S + timeouts.observe_s) + EXCHANGE_S
    return first_s + (tolerated - 1) * longest_handover_s()


def longest_handover_s() -> float:
    """Return the time from the loss of a leader until the next one has replaced a voter."""
    return TAKEOVER_S + MemberTimeouts().observe_s + EXCHANGE_S

"""Decide from what connections showed whether the endpoints of a service are out of reach from here."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

NEVER = float('-inf')

#: Endpoints that must accept no connection, one after the other, before the others of the service are
#: taken to be out of reach, too. A larger service would otherwise take seconds to be tried.
CUT_SAMPLE = 4

#: Trial connections that are open at once to the endpoints of one service.
MAX_PARALLEL_TRIALS = 4

#: Time until the next trial connection to an endpoint; it doubles from the first value to the last.
FIRST_TRIAL_DELAY_S = 0.25
MAX_TRIAL_DELAY_S = 2.0

#: Largest fraction by which a trial is delayed at random, so that instances that were cut off together
#: do not connect together when the cut ends.
TRIAL_JITTER = 0.5


@dataclass(slots=True)
class Reach:
    """What connections to an endpoint showed, as local times.

    :param failing_since: start of the first connect that failed after the last one that succeeded; None
        if the last one succeeded.
    :param connected_at: end of the last connect that succeeded.
    :param answered_at: last time at which bytes of an answer arrived.
    :param next_trial_at: earliest time of the next trial connection.
    """

    failing_since: float | None = None
    connected_at: float = NEVER
    answered_at: float = NEVER
    next_trial_at: float = NEVER
    trial_delay_s: float = FIRST_TRIAL_DELAY_S
    is_on_trial: bool = False

    def record_connected(self, now: float) -> None:
        """Record that a connection was opened."""
        self.failing_since = None
        self.connected_at = now
        self.trial_delay_s = FIRST_TRIAL_DELAY_S

    def record_failed(self, began_at: float, now: float, draw: float) -> None:
        """Record that no connection could be opened.

        :param began_at: time at which the connect began.
        :param draw: random number in [0, 1) that spreads the next trial.
        """
        if self.connected_at > began_at:
            return
        if self.failing_since is None:
            self.failing_since = began_at
            self.trial_delay_s = FIRST_TRIAL_DELAY_S
        self.next_trial_at = now + self.trial_delay_s * (1 + TRIAL_JITTER * draw)
        self.trial_delay_s = min(2 * self.trial_delay_s, MAX_TRIAL_DELAY_S)


def may_connect(reach: Reach, cut_since: float | None, *, has_idle_connection: bool) -> bool:
    """Return whether a request can be sent to an endpoint.

    Connections that were open before a cut may live on while new ones are refused. They are used if an
    answer has arrived over one of them since.

    :param cut_since: since when its service is out of reach; None if it is not.
    """
    failing_since = reach.failing_since if cut_since is None else cut_since
    if failing_since is None:
        return True
    return has_idle_connection and reach.answered_at > failing_since


def find_cut(reaches: Sequence[Reach]) -> float | None:
    """Return since when no endpoint of a service accepts connections from here; None if one may.

    One endpoint that does not accept connections has perhaps crashed. If none of them does, or none of
    those that were tried last, a peer may still reach them.
    """
    failing = sorted(
        (each.failing_since for each in reaches if each.failing_since is not None), reverse=True
    )
    needed = min(len(reaches), CUT_SAMPLE)
    if not failing or len(failing) < needed:
        return None
    if len(failing) == len(reaches):
        return failing[-1]
    since = failing[needed - 1]
    return None if any(each.connected_at > since for each in reaches) else since


def plan_trials(
    reaches: Sequence[Reach], suspects: Sequence[Reach], now: float, draw: Callable[[], float]
) -> list[Reach]:
    """Return the endpoints of a service to which a trial connection is opened now.

    Those are the ones that accepted no connection, when their next trial is due, and suspects. While no
    connection to any endpoint has succeeded since one failed, the others are tried as well: that tells
    an endpoint that has failed from an instance that is cut off.

    :param suspects: endpoints that have not answered a request for long.
    """
    failing = [each for each in reaches if each.failing_since is not None]
    due = [each for each in failing if each.next_trial_at <= now]
    due += [each for each in suspects if each.failing_since is None and each.next_trial_at <= now]
    latest = max((each.failing_since or NEVER for each in failing), default=None)
    if latest is not None and all(each.connected_at <= latest for each in reaches):
        untried = [
            each for each in reaches if each.failing_since is None and each.next_trial_at <= now
        ]
        due += sorted(untried, key=lambda _: draw())
    running = sum(each.is_on_trial for each in reaches)
    waiting = [each for each in due if not each.is_on_trial]
    unique = list({id(each): each for each in waiting}.values())
    return unique[: max(0, MAX_PARALLEL_TRIALS - running)]

"""Decide whether a request ran: not run, unknown, or done."""

from __future__ import annotations

import enum

from shallotmux.forwarding._messages import AnswerHead
from shallotmux.forwarding._names import HeaderNames

#: Status of an endpoint that is not the expected one. It proves that the request did not run.
MISDIRECTED = 421

#: Statuses by which callers are promised that a request did not run and will not.
PROMISES = frozenset((408, 421, 429, 503))


class Outcome(enum.Enum):
    """What is known of a request that was sent to an endpoint."""

    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'
    DONE = 'done'


def judge_head(head: AnswerHead, names: HeaderNames) -> Outcome:
    """Return what the head of a matched answer proves.

    A status that callers read as "not run" proves it only with the endpoint's own mark; without
    the mark the request may have run, and the status must not be passed on.
    """
    if head.status == MISDIRECTED or head.header(names.not_run) is not None:
        return Outcome.NOT_RUN
    if head.status in PROMISES:
        return Outcome.UNKNOWN
    return Outcome.DONE


def judge_silence(*, was_sent: bool) -> Outcome:
    """Return what is known when no answer came.

    :param was_sent: whether any byte of the request may have left this instance.
    """
    return Outcome.UNKNOWN if was_sent else Outcome.NOT_RUN

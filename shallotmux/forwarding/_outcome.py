"""Tell from an endpoint's answer whether it ran the request."""

from __future__ import annotations

import enum

from shallotmux.forwarding._messages import AnswerHead
from shallotmux.forwarding._names import HeaderNames

#: 421 Misdirected Request: the endpoint is not the expected one, so the request did not run.
MISDIRECTED_STATUS = 421

#: Statuses that guarantee to callers that a request did not run and will not.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


class Outcome(enum.Enum):
    """Whether an endpoint ran a request."""

    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'
    DONE = 'done'


def classify_answer(head: AnswerHead, names: HeaderNames) -> Outcome:
    """Return what the head of a matched answer proves.

    A status of :data:`NOT_RUN_STATUSES` proves that the request did not run only if the endpoint
    also sent the not-run header, except 421. Without the header the request may have run, and the
    status must not be passed on to the caller.
    """
    if head.status == MISDIRECTED_STATUS or head.header(names.not_run) is not None:
        return Outcome.NOT_RUN
    if head.status in NOT_RUN_STATUSES:
        return Outcome.UNKNOWN
    return Outcome.DONE


def classify_missing_answer(*, was_sent: bool) -> Outcome:
    """Return what is known when there was no answer.

    :param was_sent: whether any byte of the request may have left this instance.
    """
    return Outcome.UNKNOWN if was_sent else Outcome.NOT_RUN

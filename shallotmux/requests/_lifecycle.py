"""The request state machine, and what is true of a request at each moment."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from enum import StrEnum


class RequestState(StrEnum):
    """Where a request is in its lifecycle."""

    RECEIVED = 'received'
    ADMITTED = 'admitted'
    QUEUED = 'queued'
    DISPATCHED = 'dispatched'
    STREAMING = 'streaming'
    FINISHED = 'finished'
    REFUSED = 'refused'


class AttemptState(StrEnum):
    """What is known of an attempt. ``not_run`` rests on proof, ``broken`` on the lack of it."""

    OPEN = 'open'
    NOT_RUN = 'not_run'
    BROKEN = 'broken'
    COMPLETE = 'complete'


class Outcome(StrEnum):
    """What can truthfully be said of a request."""

    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'
    DONE = 'done'


@dataclass(frozen=True, slots=True)
class Admit:
    """The request is valid and its caller may send it."""


@dataclass(frozen=True, slots=True)
class Enqueue:
    """The request waits for an endpoint, at first or after a failed attempt."""


@dataclass(frozen=True, slots=True)
class Dispatch:
    """An attempt starts; from here on bytes may have been sent."""

    attempt_id: str


@dataclass(frozen=True, slots=True)
class FirstByte:
    """An attempt has begun to answer."""

    attempt_id: str


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt ended without an answer.

    :param not_run: whether the endpoint certainly did not run it.
    """

    attempt_id: str
    not_run: bool


@dataclass(frozen=True, slots=True)
class Complete:
    """An attempt has given the whole answer."""

    attempt_id: str


@dataclass(frozen=True, slots=True)
class Refuse:
    """The request is given up."""


Event = Admit | Enqueue | Dispatch | FirstByte | AttemptEnded | Complete | Refuse


class InvalidTransition(RuntimeError):
    """An event does not fit the state of a request; this is a programming error."""


@dataclass(frozen=True, slots=True)
class Lifecycle:
    """State of a request and of its attempts."""

    state: RequestState = RequestState.RECEIVED
    attempts: dict[str, AttemptState] = field(default_factory=dict)


#: States in which each type of event may occur.
_ALLOWED: dict[type[Event], tuple[RequestState, ...]] = {
    Admit: (RequestState.RECEIVED,),
    Enqueue: (RequestState.ADMITTED, RequestState.DISPATCHED, RequestState.STREAMING),
    Dispatch: (RequestState.QUEUED, RequestState.DISPATCHED),
    FirstByte: (RequestState.DISPATCHED,),
    AttemptEnded: (RequestState.DISPATCHED, RequestState.STREAMING),
    Complete: (RequestState.DISPATCHED, RequestState.STREAMING),
    Refuse: tuple(set(RequestState) - {RequestState.FINISHED, RequestState.REFUSED}),
}


def advance(lifecycle: Lifecycle, event: Event) -> Lifecycle:
    """Return the lifecycle after an event.

    :raises InvalidTransition: if the event cannot occur in the present state.
    """
    if lifecycle.state not in _ALLOWED[type(event)]:
        raise InvalidTransition(f'{event!r} in state {lifecycle.state}')
    match event:
        case Admit():
            return replace(lifecycle, state=RequestState.ADMITTED)
        case Enqueue():
            return replace(lifecycle, state=RequestState.QUEUED)
        case Refuse():
            return replace(lifecycle, state=RequestState.REFUSED)
        case Dispatch(attempt_id=attempt_id):
            return _mark(lifecycle, attempt_id, AttemptState.OPEN, RequestState.DISPATCHED)
        case _:
            return _advance_attempt(lifecycle, event)


def _advance_attempt(lifecycle: Lifecycle, event: FirstByte | AttemptEnded | Complete) -> Lifecycle:
    if lifecycle.attempts.get(event.attempt_id) != AttemptState.OPEN:
        raise InvalidTransition(f'{event!r} for an attempt that is not open')
    match event:
        case FirstByte():
            return replace(lifecycle, state=RequestState.STREAMING)
        case AttemptEnded(attempt_id=attempt_id, not_run=not_run):
            ended = AttemptState.NOT_RUN if not_run else AttemptState.BROKEN
            return _mark(lifecycle, attempt_id, ended, lifecycle.state)
        case Complete(attempt_id=attempt_id):
            return _mark(lifecycle, attempt_id, AttemptState.COMPLETE, RequestState.FINISHED)


def _mark(
    lifecycle: Lifecycle, attempt_id: str, attempt: AttemptState, state: RequestState
) -> Lifecycle:
    return Lifecycle(state, {**lifecycle.attempts, attempt_id: attempt})


def judge(lifecycle: Lifecycle) -> Outcome:
    """Return what can truthfully be said of a request.

    This is the only place that decides it: a request did not run if it was never dispatched, or if
    every endpoint it was dispatched to has proven that it did not run.
    """
    if lifecycle.state == RequestState.FINISHED:
        return Outcome.DONE
    if all(each == AttemptState.NOT_RUN for each in lifecycle.attempts.values()):
        return Outcome.NOT_RUN
    return Outcome.UNKNOWN

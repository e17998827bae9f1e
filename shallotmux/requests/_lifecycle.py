"""State machine of a request and its attempts, and the outcome that follows from it."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from enum import StrEnum


class RequestState(StrEnum):
    """State of a request."""

    RECEIVED = 'received'
    ADMITTED = 'admitted'
    QUEUED = 'queued'
    DISPATCHED = 'dispatched'
    STREAMING = 'streaming'
    FINISHED = 'finished'
    REFUSED = 'refused'


class AttemptState(StrEnum):
    """State of an attempt.

    ``NOT_RUN`` means proof that the endpoint did not run it; ``BROKEN`` means that there is none.
    """

    OPEN = 'open'
    NOT_RUN = 'not_run'
    BROKEN = 'broken'
    COMPLETE = 'complete'


class Outcome(StrEnum):
    """Whether a request ran, as far as it is known."""

    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'
    DONE = 'done'


@dataclass(frozen=True, slots=True)
class Admit:
    """The request is valid and its caller is authorized."""


@dataclass(frozen=True, slots=True)
class Enqueue:
    """The request waits for an endpoint, initially or after a failed attempt."""


@dataclass(frozen=True, slots=True)
class Dispatch:
    """An attempt starts; from now on the endpoint may have received it."""

    attempt_id: str


@dataclass(frozen=True, slots=True)
class FirstByte:
    """The first bytes of an attempt's answer have arrived."""

    attempt_id: str


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt ended without a complete answer.

    :param not_run: whether it is proven that the endpoint did not run it.
    """

    attempt_id: str
    not_run: bool


@dataclass(frozen=True, slots=True)
class Complete:
    """An attempt has returned the complete answer."""

    attempt_id: str


@dataclass(frozen=True, slots=True)
class Refuse:
    """The request is refused; there are no further attempts."""


Event = Admit | Enqueue | Dispatch | FirstByte | AttemptEnded | Complete | Refuse


class InvalidTransition(RuntimeError):
    """An event is not allowed in the state of a request, which is a programming error."""


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

    :raises InvalidTransition: if the event is not allowed in the current state.
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


def determine_outcome(lifecycle: Lifecycle) -> Outcome:
    """Return whether a request ran, as far as it is known.

    No other code decides this. A request did not run if it was never dispatched, or if there is
    proof for every attempt that its endpoint did not run it.
    """
    if lifecycle.state == RequestState.FINISHED:
        return Outcome.DONE
    if all(each == AttemptState.NOT_RUN for each in lifecycle.attempts.values()):
        return Outcome.NOT_RUN
    return Outcome.UNKNOWN

"""Tests of the request state machine and of the outcome derived from it."""

from __future__ import annotations

import pytest

from shallotmux.requests._lifecycle import (
    Admit,
    AttemptEnded,
    Complete,
    Dispatch,
    Enqueue,
    Event,
    FirstByte,
    InvalidTransition,
    Lifecycle,
    Outcome,
    Refuse,
    advance,
    determine_outcome,
)

QUEUED = (Admit(), Enqueue())
SENT = (*QUEUED, Dispatch('1'))
NOT_RUN = (*SENT, AttemptEnded('1', not_run=True), Enqueue(), Dispatch('2'))


def apply_events(*events: Event) -> Lifecycle:
    """Return the lifecycle after a sequence of events."""
    lifecycle = Lifecycle()
    for event in events:
        lifecycle = advance(lifecycle, event)
    return lifecycle


@pytest.mark.parametrize(
    ('events', 'outcome'),
    [
        ((), Outcome.NOT_RUN),
        ((*QUEUED, Refuse()), Outcome.NOT_RUN),
        (SENT, Outcome.UNKNOWN),
        ((*SENT, AttemptEnded('1', not_run=True), Refuse()), Outcome.NOT_RUN),
        ((*SENT, AttemptEnded('1', not_run=False), Refuse()), Outcome.UNKNOWN),
        ((*NOT_RUN, AttemptEnded('2', not_run=False), Refuse()), Outcome.UNKNOWN),
        ((*NOT_RUN, AttemptEnded('2', not_run=True), Refuse()), Outcome.NOT_RUN),
        ((*SENT, FirstByte('1'), Refuse()), Outcome.UNKNOWN),
        ((*SENT, FirstByte('1'), Complete('1')), Outcome.DONE),
    ],
)
def test_outcome(events: tuple[Event, ...], outcome: Outcome) -> None:
    """Guards against a refusal with ``not_run`` set without proof."""
    assert determine_outcome(apply_events(*events)) == outcome


@pytest.mark.parametrize(
    'events',
    [
        (Dispatch('1'),),
        (*SENT, Complete('2')),
        (*SENT, Complete('1'), Refuse()),
        (*SENT, AttemptEnded('1', not_run=True), FirstByte('1')),
        (Refuse(), Refuse()),
    ],
)
def test_invalid_transition(events: tuple[Event, ...]) -> None:
    """Guards against a late event of a superseded attempt that changes the request."""
    with pytest.raises(InvalidTransition):
        apply_events(*events)

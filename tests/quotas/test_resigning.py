"""Tests of granters that stop as planned, with plain numbers as time."""

from __future__ import annotations

from shallotmux.quotas._election import RESIGN_ROUNDS, SLOTS, Election
from shallotmux.quotas._messages import QuotaBeat, QuotaResign, QuotaSupport
from shallotmux.quotas._plan import MAX_HOLD_S

NAMES = tuple(f'10.0.0.{number}:1' for number in range(3))
IDENTITIES = tuple(f'{name}~1' for name in NAMES)
BEAT = QuotaBeat(IDENTITIES[1], 1, {0: True})


def make_election() -> Election:
    """Return the part of one of three instances."""
    election = Election(NAMES[0], IDENTITIES[0], 0.0)
    election.update(NAMES, range(SLOTS), 10.0)
    return election


def elect(election: Election) -> list[QuotaSupport]:
    """Let an instance become the granter of a slot at 15 s; returns the answers to its beat."""
    election.run_round(10.0)
    beats = [each for _, each in election.run_round(15.0) if isinstance(each, QuotaBeat)]
    slot = next(iter(beats[0].slots))
    answers = [
        QuotaSupport(each, IDENTITIES[0], beats[0].number, (slot,), len(NAMES))
        for each in NAMES[1:]
    ]
    election.receive_support(answers[0], 15.0)
    assert election.may_grant(slot, 15.0)
    return answers


def test_answer_to_an_earlier_beat_does_not_make_it_the_granter_again() -> None:
    """Guards against two granters, as the others replace one that resigned before its promises end."""
    election = make_election()
    answers = elect(election)
    election.resign(15.1)
    for each in answers:
        election.receive_support(each, 15.1)
    assert not election.granted_slots(15.1)


def test_resigned_granter_does_not_stand_again() -> None:
    """Guards against a granter that goes on after others were told not to wait for its grants."""
    election = make_election()
    elect(election)
    election.resign(15.1)
    for incarnation in range(100):
        election.receive_resign(QuotaResign(f'{NAMES[1]}~{incarnation}'), 15.1)
    sent = [election.run_round(15.1 + 0.1 * tenths) for tenths in range(100)]
    assert all(isinstance(each, QuotaResign) for messages in sent for _, each in messages)
    assert sum(bool(messages) for messages in sent) == RESIGN_ROUNDS


def test_promise_to_one_that_resigned_ends_when_its_grants_have_expired() -> None:
    """Guards against two granters, and against quotas without one for as long as a promise."""
    election = make_election()
    other = QuotaBeat(IDENTITIES[2], 1, {0: False})
    assert election.receive_beat(BEAT, 10.0) is not None
    election.receive_resign(QuotaResign(IDENTITIES[1]), 10.2)
    # It may arrive more than once.
    election.receive_resign(QuotaResign(IDENTITIES[1]), 10.4)
    assert election.receive_beat(other, 10.2 + MAX_HOLD_S - 0.01) is None
    # Whether it is the best candidate depends on the ranking; a granter is.
    assert election.receive_beat(QuotaBeat(IDENTITIES[2], 2, {0: True}), 10.2 + MAX_HOLD_S)


def test_late_beat_of_one_that_resigned_gets_no_promise() -> None:
    """Guards against a slot that nobody grants for as long as a promise, as datagrams overtake others."""
    election = make_election()
    election.receive_resign(QuotaResign(IDENTITIES[1]), 10.2)
    assert election.receive_beat(BEAT, 10.3) is None
    assert election.granter_of(0, 10.3) is None


def test_resignation_of_a_stranger_or_another_incarnation_changes_nothing() -> None:
    """Guards against datagrams that end the promise to a granter that goes on."""
    election = make_election()
    assert election.receive_beat(BEAT, 10.0) is not None
    election.receive_resign(QuotaResign(f'{NAMES[1]}~0'), 10.0)
    election.receive_resign(QuotaResign('1.2.3.4:5~1'), 10.0)
    assert election.granter_of(0, 10.1) == IDENTITIES[1]
    other = QuotaBeat(IDENTITIES[2], 1, {0: True})
    assert election.receive_beat(other, 10.1 + MAX_HOLD_S) is None

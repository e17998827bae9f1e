"""Tests of published states and their copies."""

from __future__ import annotations

from random import Random

import msgspec
import pytest

from shallotmux.fleetnews import (
    MAX_POSITIONS,
    NO_STATE,
    Applied,
    Follower,
    Publication,
    StateChange,
    StateMark,
    decode_change,
)


def decode(value: bytes) -> str:
    """Decode a value; some are not valid."""
    if value == b'odd':
        raise msgspec.DecodeError('odd')
    return value.decode()


def follow(follower: Follower[str], publication: Publication) -> tuple[Applied, StateChange]:
    """Poll a publication and apply the answer."""
    change = decode_change(publication.encode_after(follower.mark))
    return follower.apply(change), change


def make(epoch: int, **items: bytes) -> Publication:
    """Return a publication with a state."""
    publication = Publication(epoch)
    publication.update(items)
    return publication


MANY = {f'k{number}': b'v' for number in range(20)}


def test_start_gets_the_whole_and_then_differences() -> None:
    """Guards against the whole state in each answer."""
    publication = make(1, **MANY)
    follower = Follower(decode)
    assert follow(follower, publication)[0] is Applied.REPLACED
    assert follow(follower, publication)[0] is Applied.EQUAL
    publication.update({**MANY, 'k3': b'w', 'new': b'n'})
    publication.update({key: each for key, each in {**MANY, 'k3': b'x'}.items() if key != 'k4'})
    applied, change = follow(follower, publication)
    assert applied is Applied.CHANGED
    assert change.changed == (('k3', b'x'),)
    # An item that came and went between two polls is named as removed, though the copy never had it.
    assert set(change.removed) == {'k4', 'new'}


def test_equal_state_is_no_new_position() -> None:
    """Guards against answers that grow with the number of reads of an unchanged list."""
    publication = make(1, **MANY)
    mark = publication.mark
    assert not publication.update(dict(MANY))
    assert publication.mark == mark


def test_random_changes_lead_to_the_published_state() -> None:
    """Guards against differences that miss a change or leave a removed item."""
    random = Random(5)
    publications = [Publication(1), Publication(2)]
    follower = Follower(decode)
    for _ in range(2000):
        publication = random.choice(publications)
        items = {
            f'k{number}': b'%d' % random.randrange(3)
            for number in range(30)
            if random.randrange(10)
        }
        changed = random.sample(sorted(items), 2)
        present = dict(publication.change_after(NO_STATE).changed) or items
        for key in changed:
            present[key] = items[key]
        present.pop(random.choice(sorted(present)))
        publication.update(present)
        followed = random.choice(publications)
        follow(follower, followed)
        assert follower.mark == followed.mark
        assert follower.items == {
            key: value.decode() for key, value in followed.change_after(NO_STATE).changed
        }


def test_follower_far_behind_gets_the_whole() -> None:
    """Guards against a log of changes without a bound, and against a difference with a gap."""
    publication = make(1, **MANY)
    follower = Follower(decode)
    follow(follower, publication)
    for number in range(MAX_POSITIONS):
        publication.update({**MANY, 'k1': b'%d' % number})
    assert not publication.change_after(follower.mark).is_whole
    publication.update({**MANY, 'k1': b'last'})
    assert follow(follower, publication)[0] is Applied.REPLACED
    assert follower.items['k1'] == 'last'


def test_repeated_and_reordered_answers_are_dropped() -> None:
    """Guards against an older answer that arrives late and brings back a removed item."""
    publication = make(1, **MANY)
    follower = Follower(decode)
    follow(follower, publication)
    publication.update({**MANY, 'k1': b'second'})
    late = decode_change(publication.encode_after(follower.mark))
    publication.update({**MANY, 'k1': b'third'})
    newer = decode_change(publication.encode_after(follower.mark))
    assert follower.apply(newer) is Applied.CHANGED
    assert follower.apply(late) is Applied.STALE
    assert follower.apply(newer) is Applied.STALE
    assert follower.items['k1'] == 'third'


def test_late_whole_state_is_dropped() -> None:
    """Guards against a whole state that was asked for at the start and replaces a newer one."""
    publication = make(1, **MANY)
    follower = Follower(decode)
    late = decode_change(publication.encode_after(NO_STATE))
    publication.update({**MANY, 'k1': b'second'})
    follow(follower, publication)
    assert follower.apply(late) is Applied.STALE
    assert follower.items['k1'] == 'second'


def test_lost_answer_is_made_up_for() -> None:
    """Guards against a publication that takes an answer for delivered."""
    publication = make(1, **MANY)
    follower = Follower(decode)
    follow(follower, publication)
    publication.update({**MANY, 'k1': b'second'})
    publication.encode_after(follower.mark)
    publication.update({**MANY, 'k1': b'second', 'k2': b'third'})
    follow(follower, publication)
    assert (follower.items['k1'], follower.items['k2']) == ('second', 'third')


def test_restarted_publication_with_older_position_sends_the_whole() -> None:
    """Guards against positions of one incarnation that are taken for those of another."""
    before = make(1, **MANY)
    for number in range(5):
        before.update({**MANY, 'k1': b'%d' % number})
    follower = Follower(decode)
    follow(follower, before)
    restarted = make(2, **MANY)
    for number in range(7):
        restarted.update({**MANY, 'k2': b'%d' % number})
    assert follow(follower, restarted)[0] is Applied.REPLACED
    assert follower.items['k1'] == 'v'
    assert follower.items['k2'] == '6'


def test_equal_epoch_with_another_state_sends_the_whole() -> None:
    """Guards against a difference from a state that the publication never had."""
    follower = Follower(decode)
    first, second = make(1, **MANY), make(1, **{**MANY, 'k1': b'other'})
    follow(follower, first)
    assert first.mark.position == second.mark.position
    assert follow(follower, second)[0] is Applied.REPLACED
    assert follower.items['k1'] == 'other'


def test_move_and_return_cost_nothing_between_equal_states() -> None:
    """Guards against the whole state for each entry instance whose control instance is lost."""
    first, second = make(1, **MANY), make(2, other=b'v')
    second.update(MANY)
    follower = Follower(decode)
    follow(follower, first)
    for publication in (second, first):
        applied, change = follow(follower, publication)
        assert applied is Applied.EQUAL
        assert not change.changed
        assert follower.mark == publication.mark


def test_move_to_a_state_that_is_ahead_or_behind_costs_the_difference() -> None:
    """Guards against the whole state where two control instances are some changes apart."""
    first, second = make(1, **MANY), make(2, **MANY)
    follower = Follower(decode)
    follow(follower, first)
    second.update({**MANY, 'k1': b'second'})
    applied, change = follow(follower, second)
    assert (applied, change.changed) == (Applied.CHANGED, (('k1', b'second'),))
    # The first one never had the state that the follower has now.
    assert follow(follower, first)[0] is Applied.REPLACED
    assert follower.items['k1'] == 'v'


def test_copy_of_another_size_asks_for_the_whole() -> None:
    """Guards against a copy that differs from the published state for ever."""
    publication = make(1, **MANY)
    follower = Follower(decode)
    follow(follower, publication)
    change = publication.change_after(follower.mark)
    assert follower.apply(msgspec.structs.replace(change, count=99)) is Applied.GAP
    assert follow(follower, publication)[0] is Applied.REPLACED


def test_value_that_cannot_be_decoded_changes_nothing() -> None:
    """Guards against half of a change, which no later one would repair."""
    publication = make(1, **MANY)
    follower = Follower(decode)
    follow(follower, publication)
    mark = follower.mark
    publication.update({**MANY, 'k1': b'good', 'k2': b'odd'})
    with pytest.raises(msgspec.DecodeError):
        follow(follower, publication)
    assert follower.mark == mark
    assert follower.items['k1'] == 'v'


def test_digest_depends_on_each_key_and_value() -> None:
    """Guards against different states with equal digests, such as a shifted or swapped value."""
    states = (
        {'a': b'1', 'b': b'2'},
        {'a': b'2', 'b': b'1'},
        {'a': b'1'},
        {'a1': b'', 'b': b'2'},
        {},
    )
    digests = {make(1, **each).mark.digest for each in states}
    assert len(digests) == len(states)
    again = make(1, a=b'9')
    again.update({'b': b'2', 'a': b'1'})
    assert again.mark.digest == make(2, a=b'1', b=b'2').mark.digest


def test_odd_marks_get_the_whole() -> None:
    """Guards against a poll with arbitrary numbers that ends the answering process."""
    publication = make(1, **MANY)
    for mark in (StateMark(0, 0, 0), StateMark(1, -5, 3), StateMark(1, 2**63, 3), NO_STATE):
        assert publication.change_after(mark).is_whole
    for number in range(1000):
        publication.encode_after(StateMark(9, number, number))

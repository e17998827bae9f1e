"""Tests of what control instances answer and add up."""

from __future__ import annotations

import trio
import trio.testing

from shallotmux.authority import GroupState, PutDocument
from shallotmux.control import KnowledgeService, UsageLedger
from shallotmux.fleet import (
    CustomerCount,
    ListedEndpoint,
    Listing,
    Poll,
    ServiceDemand,
    TrueClock,
    decode_answer,
    encode_knowledge,
)
from shallotmux.transport import Refusal


def desk() -> KnowledgeService:
    """Return a desk whose state holds a document."""
    state = GroupState()
    state.zone.apply(PutDocument('1', 4, b'four'))
    return KnowledgeService(state, TrueClock(), lambda: ('10.0.0.1:7',))


def poll(answering: KnowledgeService, sender: str, version: int = 0, **more: object) -> object:
    """Poll and return the answer."""
    answer = answering.answer(encode_knowledge(Poll(sender, version, **more)))
    assert answer.refusal is Refusal.NONE
    return decode_answer(answer.result)


async def test_document_is_sent_only_as_news(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against a whole configuration in each answer, and one that is never sent."""
    answering = desk()
    assert poll(answering, 'a~1').document == b'four'  # type: ignore[attr-defined]
    assert poll(answering, 'a~1', 4).document == b''  # type: ignore[attr-defined]


async def test_list_tells_its_age(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against an old list that replaces a newer one at an entry instance."""
    answering = desk()
    listing = Listing((ListedEndpoint('e-1', 'desk', '10.0.0.9:1', 'a'),))
    answering.update_listing(listing, trio.current_time())
    await trio.sleep(2)
    answer = poll(answering, 'a~1')
    assert answer.listing == listing  # type: ignore[attr-defined]
    assert round(answer.listing_age_s) == 2  # type: ignore[attr-defined]


async def test_entries_and_demand_are_forgotten(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against instances that are gone and still count."""
    answering = desk()
    poll(answering, 'a~1', demands=(ServiceDemand('llm', 100),))
    poll(answering, 'a~2', demands=(ServiceDemand('llm', 50),))
    poll(answering, 'b~1')
    assert answering.entries() == ('a', 'b')
    assert round(answering.demand_of('llm')) == 150
    await trio.sleep(6)
    assert answering.entries() == ()
    assert not answering.demand_of('llm')


async def test_unreadable_poll_is_refused(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against a poll of another release that ends the process."""
    assert desk().answer(b'\xc1').refusal is Refusal.INVALID


def test_counts_of_a_sender_replace_its_earlier_ones() -> None:
    """Guards against requests that count once for each message about them."""
    ledger = UsageLedger()
    ledger.merge('a~1', (CustomerCount('t', 7, 3),))
    ledger.merge('a~1', (CustomerCount('t', 7, 5), CustomerCount('u', 7, 1)))
    ledger.merge('a~1', (CustomerCount('t', 7, 4),))
    ledger.merge('a~2', (CustomerCount('t', 7, 2),))
    assert ledger.totals(7) == {'t': 7, 'u': 1}
    assert ledger.totals(8) == {}

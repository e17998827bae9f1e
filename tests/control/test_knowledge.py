"""Tests of the answers to polls and the aggregation of usage."""

from __future__ import annotations

from math import inf

import trio
import trio.testing

from shallotmux.authority import GroupState, PutDocument
from shallotmux.control import KnowledgeService, UsageTotals
from shallotmux.control._sizing import FleetDemand
from shallotmux.fleet import (
    CustomerCount,
    ListedEndpoint,
    Listing,
    Poll,
    ServiceDemand,
    TrueClock,
    decode_knowledge,
    encode_fleet_message,
)
from shallotmux.fleetnews import StateMark
from shallotmux.ratelimits import LimitReport
from shallotmux.transport import Refusal


def make_service() -> KnowledgeService:
    """Return a service whose state holds a document."""
    state = GroupState()
    state.zone.apply(PutDocument('1', 4, b'four'))
    return KnowledgeService(state, TrueClock(), lambda: ('10.0.0.1:7',))


def poll(service: KnowledgeService, sender: str, version: int = 0, **fields: object) -> object:
    """Poll a service and return the answer."""
    answer = service.answer(encode_fleet_message(Poll(sender, version, **fields)))
    assert answer.refusal is Refusal.NONE
    return decode_knowledge(answer.result)


async def test_document_is_sent_only_if_newer(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against the whole document in each answer, and a document that is never sent."""
    service = make_service()
    assert poll(service, 'a~1').document == b'four'  # type: ignore[attr-defined]
    assert poll(service, 'a~1', 4).document == b''  # type: ignore[attr-defined]


async def test_answer_has_age_of_listing(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against an old listing that replaces a newer one at an entry instance."""
    service = make_service()
    listing = Listing((ListedEndpoint('e-1', 'desk', '10.0.0.9:1', 'a'),))
    service.update_listing(listing, trio.current_time())
    await trio.sleep(2)
    answer = poll(service, 'a~1')
    assert answer.listing == listing  # type: ignore[attr-defined]
    assert round(answer.listing_age_s) == 2  # type: ignore[attr-defined]


async def test_entries_and_demand_expire(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against stopped instances that still count as live and add to demand."""
    service = make_service()
    poll(service, 'a~1', demands=(ServiceDemand('llm', 100),))
    poll(service, 'a~2', demands=(ServiceDemand('llm', 50),))
    poll(service, 'b~1')
    assert service.entries() == ('a', 'b')
    assert round(service.demand_of('llm').tokens_per_s) == 150
    await trio.sleep(6)
    assert service.entries() == ()
    assert not service.demand_of('llm').tokens_per_s


async def test_implausible_demand_is_ignored(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against one poll after which no number of endpoints can be calculated."""
    service = make_service()
    poll(service, 'a~1', demands=(ServiceDemand('llm', 100, 10.0, 2, 1.0),))
    odd = (float('nan'), float('inf'), -1.0, 1e300)
    for number, each in enumerate(odd):
        for demand in (ServiceDemand('llm', each), ServiceDemand('llm', 1, each, 1, each)):
            poll(service, f'x-{number}~1', demands=(demand,))
    assert service.demand_of('llm') == FleetDemand(100.0, 10.0, 2, 1.0)


async def test_unreadable_poll_is_refused(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against a poll of another release that crashes the process."""
    assert make_service().answer(b'\xc1').refusal is Refusal.INVALID


def test_newer_totals_of_a_sender_replace_earlier_ones() -> None:
    """Guards against requests that are counted once for each report about them."""
    usage_totals = UsageTotals()
    usage_totals.merge('a~1', (CustomerCount('t', 7, 3),))
    usage_totals.merge('a~1', (CustomerCount('t', 7, 5), CustomerCount('u', 7, 1)))
    usage_totals.merge('a~1', (CustomerCount('t', 7, 4),))
    usage_totals.merge('a~2', (CustomerCount('t', 7, 2),))
    assert usage_totals.totals(7) == {'t': 7, 'u': 1}
    assert usage_totals.totals(8) == {}


async def test_limits_are_passed_on_and_belong_to_their_service(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against limits that stay at one instance, or that are counted for all services."""
    service = make_service()
    limited = ListedEndpoint('e-1', 'desk', '10.0.0.9:1', 'a', started_ms=5)
    other = ListedEndpoint('e-2', 'llm', '10.0.0.8:1', 'a', started_ms=5)
    service.update_listing(Listing((limited, other)), trio.current_time())
    poll(service, 'a~1', limits=(LimitReport(limited.start_number, 3.5, 0.0),))
    answer = poll(service, 'b~1')
    assert answer.limits == (LimitReport(limited.start_number, 3.5, 0.0),)  # type: ignore[attr-defined]
    assert service.limits_of('desk') == (3.5,)
    assert service.limits_of('llm') == ()


async def test_usage_of_windows_far_away_displaces_no_real_one() -> None:
    """Guards against one odd poll after which no usage is reported any more."""
    window_s = 5.0
    clock = TrueClock()
    service = KnowledgeService(GroupState(), clock, tuple, window_s)
    present = int(clock.now() / window_s)
    poll(service, 'a~1', counts=(CustomerCount('c', present, 7),))
    odd = [CustomerCount('c', 2**62 + number, 1) for number in range(16)]
    poll(
        service, 'x~1', counts=(*odd, CustomerCount('c', 0, 1), CustomerCount('c', present, 2**63))
    )
    assert service.usage.totals(present) == {'c': 7}
    assert service.usage.first_window() == present


async def test_without_a_list_there_is_neither_a_state_nor_an_age(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against a control instance that has just started and says that there are no endpoints."""
    service = make_service()
    marks = {'known_endpoints': StateMark(), 'known_members': StateMark()}
    answer = poll(service, 'a~1', **marks)
    assert answer.endpoints == b''  # type: ignore[attr-defined]
    assert answer.listing_age_s == inf  # type: ignore[attr-defined]
    assert answer.members  # type: ignore[attr-defined]
    service.update_listing(Listing(), trio.current_time())
    assert poll(service, 'a~1', **marks).endpoints  # type: ignore[attr-defined]

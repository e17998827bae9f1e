"""Tests of limits that endpoints name, and of permits under them."""

from __future__ import annotations

import msgspec
import pytest
import trio
import trio.testing

from shallotmux.ratelimits import (
    EndpointLimits,
    KnownLimits,
    LimitReport,
    PermitGrant,
    PermitGranter,
    PermitRequest,
    choose_granter,
    parse_limit,
)
from shallotmux.ratelimits._endpoint_limits import MAX_CHOSEN, MAX_RETURN_S, MIN_RETURN_S
from shallotmux.ratelimits._granting import HANDOVER_S, MAX_WAITING
from shallotmux.ratelimits._known import LIMIT_TTL_S, MAX_LIMITS
from shallotmux.ratelimits._stock import PERMIT_TTL_S

ENDPOINT = 7
NAMES = tuple(f'10.0.0.{number}:1' for number in range(12))


def granter_of(names: tuple[str, ...]) -> str:
    """Return the instance that grants the permits of the endpoint."""
    return choose_granter(ENDPOINT, names)


def other_than(name: str) -> str:
    """Return another instance."""
    return next(each for each in NAMES if each != name)


def make_limits(name: str) -> EndpointLimits:
    """Return the limits of an instance that knows one of 2 a second."""
    limits = EndpointLimits(name, f'{name}~1', lambda: NAMES)
    limits.known.observe(ENDPOINT, 2.0, 0.0)
    return limits


@pytest.mark.parametrize(
    ('text', 'limit'),
    [
        (b'3.5', 3.5),
        (b'1', 1.0),
        (b'0', 0.0),
        (None, None),
        (b'', None),
        (b'-1', None),
        (b'nan', None),
        (b'inf', None),
        (b'1e300', None),
        (b'9' * 400, None),
        (b'many', None),
    ],
)
def test_limit_is_a_decimal_number(text: bytes | None, limit: float | None) -> None:
    """Guards against a header that ends a request, or stops all requests for ever."""
    assert parse_limit(text) == limit


async def test_newest_observation_counts(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against a limit that stays after the endpoint has lifted it, or returns later."""
    known = KnownLimits()
    known.observe(ENDPOINT, 2.0, 0.0)
    await trio.sleep(1)
    known.merge((LimitReport(ENDPOINT, 5.0, 3.0),))
    assert known.limit_of(ENDPOINT) == 2
    known.merge((LimitReport(ENDPOINT, 3.5, 0.1),))
    assert known.limit_of(ENDPOINT) == 7 / 2
    await trio.sleep(1)
    known.observe(ENDPOINT, None, trio.current_time())
    assert known.limit_of(ENDPOINT) is None
    known.merge((LimitReport(ENDPOINT, 3.5, 1.0),))
    assert known.limit_of(ENDPOINT) is None


async def test_answer_to_an_earlier_request_lifts_nothing(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against a limit that is forgotten when answers arrive out of order."""
    known = KnownLimits()
    await trio.sleep(1)
    known.observe(ENDPOINT, 2.0, 0.5)
    known.observe(ENDPOINT, None, 0.9)
    assert known.limit_of(ENDPOINT) == 2


async def test_observations_do_not_circulate_for_ever(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against reports that look newer with each transfer and never expire."""
    first, second = KnownLimits(), KnownLimits()
    first.observe(ENDPOINT, 2.0, 0.0)
    for _ in range(400):
        reports = first.build_reports()
        await trio.sleep(0.1)
        second.merge(reports)
        reports = second.build_reports()
        await trio.sleep(0.1)
        first.merge(reports)
        await trio.sleep(LIMIT_TTL_S / 390)
    assert first.limit_of(ENDPOINT) is None
    assert not first.build_reports()


async def test_known_limits_are_bounded(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against forged reports that fill the memory."""
    known = KnownLimits()
    known.merge(LimitReport(number, 1.0, 0.0) for number in range(5 * MAX_LIMITS))
    assert len(known.limited()) <= MAX_LIMITS
    assert len(known.build_reports()) <= MAX_LIMITS


def test_new_granter_waits_for_the_permits_of_the_former() -> None:
    """Guards against permits of two granters at the same time when an instance comes or goes."""
    granter = PermitGranter()
    granter.request(ENDPOINT, 'a', 5, 0.0)
    granter.refund(ENDPOINT, 5, 0.1)
    granter.request(ENDPOINT, 'a', 5, HANDOVER_S - 0.1)
    assert not granter.grant(ENDPOINT, 100.0, HANDOVER_S - 0.1)
    granter.request(ENDPOINT, 'a', 5, HANDOVER_S)
    assert not granter.grant(ENDPOINT, 100.0, HANDOVER_S)
    granter.request(ENDPOINT, 'a', 5, HANDOVER_S + 0.1)
    assert granter.grant(ENDPOINT, 100.0, HANDOVER_S + 0.1) == {'a': 5}
    assert HANDOVER_S > PERMIT_TTL_S


def test_instances_are_served_in_turn() -> None:
    """Guards against one busy instance that gets all permits."""
    granter = PermitGranter()
    granted = {'a': 0, 'b': 0}
    for number in range(100):
        now = number / 10
        granter.request(ENDPOINT, 'a', 50, now)
        granter.request(ENDPOINT, 'b', 1, now)
        for name, count in granter.grant(ENDPOINT, 2.0, now).items():
            granted[name] += count
    assert sum(granted.values()) <= 2.0 * (10 - HANDOVER_S) + 1
    assert abs(granted['a'] - granted['b']) <= 1


async def test_permits_expire_and_return(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against permits that pile up, and against a limit wasted on instances without work."""
    name = other_than(granter_of(NAMES))
    limits = make_limits(name)
    limits.receive(msgspec.msgpack.encode(PermitGrant(f'{granter_of(NAMES)}~1', 1, {ENDPOINT: 2})))
    assert limits.has_room(ENDPOINT)
    assert limits.take(ENDPOINT)
    await trio.sleep(PERMIT_TTL_S)
    assert not limits.take(ENDPOINT)
    _, content = limits.run_round()[0]
    assert msgspec.msgpack.decode(content, type=PermitRequest).unused == {ENDPOINT: 1}


async def test_permits_come_from_the_chosen_granter_once(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against double permits: of an instance that was chosen earlier, or sent twice."""
    granter = granter_of(NAMES)
    name = other_than(granter)
    limits = make_limits(name)
    limits.receive(msgspec.msgpack.encode(PermitGrant(f'{name}~1', 1, {ENDPOINT: 1})))
    assert not limits.has_room(ENDPOINT)
    for _ in range(2):
        limits.receive(msgspec.msgpack.encode(PermitGrant(f'{granter}~1', 1, {ENDPOINT: 1})))
    assert limits.take(ENDPOINT)
    assert not limits.take(ENDPOINT)


async def test_invalid_messages_are_ignored(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against a datagram from anywhere that ends the receiving task or fills the memory."""
    limits = make_limits(granter_of(NAMES))
    assert not limits.receive(b'')
    assert not limits.receive(msgspec.msgpack.encode(['load', 1]))
    wanted = {number: 10**9 for number in range(50)}
    forged = PermitRequest('nowhere', wanted, (), wanted)
    assert limits.receive(msgspec.msgpack.encode(forged))
    limits.receive(msgspec.msgpack.encode(PermitGrant('x~1', 1, {ENDPOINT: 10**12})))
    assert not limits.has_room(ENDPOINT)
    limits.run_round()


@pytest.mark.parametrize('limit', [1e300, float('inf'), float('nan'), -7.0])
async def test_limit_out_of_range_from_another_instance_is_ignored(
    autojump_clock: trio.testing.MockClock, limit: float
) -> None:
    """Guards against a datagram that makes an instance grant permits for ever."""
    name = granter_of(NAMES)
    limits = EndpointLimits(name, f'{name}~1', lambda: NAMES)
    report = LimitReport(ENDPOINT, limit, 0.0)
    forged = PermitRequest(other_than(name), {ENDPOINT: 2**60}, (report,), {})
    assert limits.receive(msgspec.msgpack.encode(forged))
    await trio.sleep(HANDOVER_S + 1)
    assert limits.receive(msgspec.msgpack.encode(forged))
    limits.run_round()
    assert limits.known.limit_of(ENDPOINT) is None
    assert not limits.total_granted


async def test_waiting_instances_are_bounded(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against datagrams under many names that fill the memory."""
    limits = make_limits(granter_of(NAMES))
    for number in range(2 * MAX_WAITING):
        forged = PermitRequest(f'x-{number}', {ENDPOINT: 1}, (), {})
        limits.receive(msgspec.msgpack.encode(forged))
    for number in range(2 * MAX_CHOSEN):
        limits.receive(msgspec.msgpack.encode(PermitGrant('x~1', number + 1, {number: 1})))
    assert len(limits._granter._buckets[ENDPOINT].waiting) <= MAX_WAITING
    assert len(limits._granters) <= MAX_CHOSEN


async def test_return_time_follows_the_limit(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against callers that are told to return before there can be room."""
    limits = make_limits(NAMES[0])
    assert limits.returns_in((ENDPOINT,)) == MAX_RETURN_S
    assert limits.returns_in((8,)) is None
    limits.known.observe(8, 100.0, 0.0)
    assert limits.returns_in((8,)) == MIN_RETURN_S

"""Tests of limits and permits with numbers out of range."""

from __future__ import annotations

import math
import time

import msgspec
import pytest
import trio.testing

from shallotmux.ratelimits import EndpointLimits, LimitReport, PermitRequest, parse_limit
from shallotmux.ratelimits._granting import HANDOVER_S

ENDPOINT = 7
OWN = '10.0.0.1:1'
OTHER = '10.0.0.2:1'
LIMIT = 5.0

#: Time that a round may take; it runs in the event loop, beside all requests.
ROUND_TIMEOUT_S = 1.0


def make_granter() -> EndpointLimits:
    """Return the limits of the only instance, so that it grants all permits."""
    return EndpointLimits(OWN, f'{OWN}#1')


def ask(limits: EndpointLimits, limit: float, wanted: int, age_s: float = 0.0) -> None:
    """Send a request for permits as another instance."""
    reports = (LimitReport(ENDPOINT, limit, age_s),)
    request = PermitRequest(OTHER, {ENDPOINT: wanted}, reports, {ENDPOINT: wanted})
    assert limits.receive(msgspec.msgpack.encode(request))


@pytest.mark.parametrize('limit', [math.nan, math.inf, -math.inf, 1e308, -5.0])
async def test_limit_out_of_range_does_not_end_the_rounds(
    limit: float, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against the end of an entry process by one message that names an impossible limit."""
    limits = make_granter()
    ask(limits, limit, 1)
    for _ in range(3):
        limits.has_room(ENDPOINT)
        limits.take(ENDPOINT)
        limits.run_round()
        await trio.sleep(HANDOVER_S)
    assert limits.known.limit_of(ENDPOINT) is None


@pytest.mark.parametrize('age_s', [math.nan, math.inf])
async def test_report_without_a_time_is_ignored(age_s: float) -> None:
    """Guards against a limit of unknown age that replaces a recent one."""
    limits = make_granter()
    limits.known.observe(ENDPOINT, LIMIT, 0.0)
    ask(limits, LIMIT + 1, 1, age_s)
    assert limits.known.limit_of(ENDPOINT) == LIMIT


@pytest.mark.parametrize('wanted', [2**63, -(2**62)])
async def test_number_of_wanted_permits_is_bounded(
    wanted: int, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against a round that serves one request for permits for ever."""
    limits = make_granter()
    ask(limits, 1e6, 1)
    await trio.sleep(HANDOVER_S + 1)
    ask(limits, 1e6, wanted)
    began_at = time.perf_counter()
    limits.run_round()
    assert time.perf_counter() - began_at < ROUND_TIMEOUT_S
    assert limits.total_granted <= 4096


@pytest.mark.parametrize('text', [b'1e308', b'1e7', b'1_0', b'nan', b'-1', b'9' * 5000])
def test_limit_out_of_range_in_a_header_is_none(text: bytes) -> None:
    """Guards against limits that no endpoint can have."""
    assert parse_limit(text) is None

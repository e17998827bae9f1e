"""Tests of the time for which an endpoint that refused gets no requests."""

from __future__ import annotations

from dataclasses import replace

import pytest
import trio
import trio.testing

from shallotmux.fleet import EngineRole, ListedEndpoint, Listing
from shallotmux.forwarding import EndpointDirectory
from shallotmux.forwarding._state import (
    MAX_REFUSAL_BACKOFF_S,
    REFUSAL_BACKOFF_S,
    ROLE_REFUSAL_BACKOFF_S,
    EndpointState,
)
from tests.forwarding._harness import ReceivedRequest, ScriptedEndpoint, answer, run_forwarder
from tests.forwarding.test_engines import (
    DIALECT,
    ROUTE,
    answer_prefill,
    configure_engines,
    generate,
)
from tests.plannedchanges._plans import make_engine

PLAIN = ListedEndpoint('w-1', 'desk', '10.0.0.9:1', 'a', 4)


def find(directory: EndpointDirectory, identity: str) -> EndpointState:
    """Return the state of a listed endpoint."""
    state = directory.find(identity)
    assert state is not None
    return state


def make_directory() -> EndpointDirectory:
    """Return a directory of a decode engine and a plain endpoint."""
    directory = EndpointDirectory(lambda _: None)
    directory.update_listing(Listing((make_engine(1), PLAIN)))
    return directory


def refuse_now(directory: EndpointDirectory, identity: str, status: int) -> float:
    """Record a refusal; returns the time for which the endpoint gets no requests from now on."""
    now = trio.current_time()
    state = find(directory, identity)
    directory.record_refusal(state, status, now)
    return state.refused_until - now


async def test_engine_in_another_role_is_avoided_until_it_is_listed(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against an engine that is asked every 0.4 s for a role that it does not have any more."""
    directory = make_directory()
    assert refuse_now(directory, 'e-1', 421) == pytest.approx(ROLE_REFUSAL_BACKOFF_S)
    await trio.sleep(0.5)
    assert not find(directory, 'e-1').is_available(trio.current_time())
    directory.update_listing(Listing((make_engine(1, EngineRole.PREFILL), PLAIN)))
    assert find(directory, 'e-1').is_available(trio.current_time())


async def test_engine_in_another_role_is_used_after_a_bound(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against an engine that one odd answer takes out of service for good."""
    directory = make_directory()
    refuse_now(directory, 'e-1', 421)
    await trio.sleep(3.8)
    assert find(directory, 'e-1').is_available(trio.current_time())


async def test_refusals_in_a_row_lengthen_the_backoff(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against eight requests to an engine that is away for 3 s, and against a long absence."""
    directory = make_directory()
    backoffs_s: list[float] = []
    for _ in range(5):
        backoffs_s.append(refuse_now(directory, 'e-1', 503))
        await trio.sleep(backoffs_s[-1])
    assert backoffs_s == [pytest.approx(each) for each in (0.4, 0.8, 1.6, 1.6, 1.6)]
    find(directory, 'e-1').record_success()
    assert refuse_now(directory, 'e-1', 503) == pytest.approx(REFUSAL_BACKOFF_S)


async def test_refusals_at_one_time_count_once(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against a full engine that loses its requests for long after a burst."""
    directory = make_directory()
    backoffs_s = [refuse_now(directory, 'e-1', 503) for _ in range(5)]
    assert backoffs_s == [pytest.approx(REFUSAL_BACKOFF_S) for _ in range(5)]


async def test_listed_role_ends_the_backoff(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against an engine that waits in its new role for refusals in the former one."""
    directory = make_directory()
    for _ in range(3):
        await trio.sleep(refuse_now(directory, 'e-1', 503))
    refuse_now(directory, 'e-1', 503)
    directory.update_listing(Listing((make_engine(1, EngineRole.PREFILL), PLAIN)))
    assert find(directory, 'e-1').is_available(trio.current_time())
    assert refuse_now(directory, 'e-1', 503) == pytest.approx(REFUSAL_BACKOFF_S)


async def test_late_refusal_of_the_former_role_does_not_count(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against an engine that is avoided in its new role for a request of the former one."""
    directory = make_directory()
    sent_at = trio.current_time()
    await trio.sleep(0.1)
    directory.update_listing(Listing((make_engine(1, EngineRole.PREFILL), PLAIN)))
    directory.record_refusal(find(directory, 'e-1'), 421, sent_at)
    assert find(directory, 'e-1').is_available(trio.current_time())


@pytest.mark.parametrize('status', (421, 503))
async def test_plain_endpoints_keep_the_short_backoff(
    status: int, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against full workers of plain services that lose their requests for seconds."""
    directory = make_directory()
    for _ in range(4):
        backoff_s = refuse_now(directory, 'w-1', status)
        assert backoff_s == pytest.approx(REFUSAL_BACKOFF_S)
        await trio.sleep(backoff_s)


def test_bounds_cover_no_more_than_a_role_change() -> None:
    """Guards against an engine that is avoided for longer than a role change and the list take."""
    assert ROLE_REFUSAL_BACKOFF_S == pytest.approx(3.8)
    assert MAX_REFUSAL_BACKOFF_S < ROLE_REFUSAL_BACKOFF_S


async def refuse_role(stream: trio.SocketStream, received: ReceivedRequest) -> bool:
    """Answer that the engine has another role."""
    await stream.send_all(answer(received, b'', status=421))
    return True


async def test_request_refused_for_the_role_is_served_elsewhere() -> None:
    """Guards against a second request to an engine that has another role, and a refusal to a caller."""
    engines = [ScriptedEndpoint(refuse_role), ScriptedEndpoint(generate)]
    prefill_engine = ScriptedEndpoint(answer_prefill)
    async with run_forwarder(prefill_engine, *engines, dialect=DIALECT) as harness:
        configure_engines(harness, [prefill_engine], engines, replace(ROUTE, max_attempts=2))
        got = []
        for number in range(3):
            got.append(await harness.make_request('/ask/', request_id=f'r-{number}'))
            # Longer than the backoff after other refusals.
            await trio.sleep(REFUSAL_BACKOFF_S + 0.05)
    assert {each.status for each in got} == {200}
    assert len(engines[0].received) <= 1


async def test_prefill_refused_for_the_role_is_not_asked_again() -> None:
    """Guards against prompts that are sent again and again to an engine that has left prefill."""
    prefill_engines = [ScriptedEndpoint(refuse_role), ScriptedEndpoint(answer_prefill)]
    decode_engine = ScriptedEndpoint(generate)
    async with run_forwarder(*prefill_engines, decode_engine, dialect=DIALECT) as harness:
        configure_engines(harness, prefill_engines, [decode_engine])
        got = []
        for number in range(3):
            got.append(await harness.make_request('/ask/', request_id=f'r-{number}'))
            await trio.sleep(REFUSAL_BACKOFF_S + 0.05)
    assert {each.status for each in got} == {200}
    assert len(prefill_engines[0].received) <= 1

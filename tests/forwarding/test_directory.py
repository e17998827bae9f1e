"""Tests of the choice of endpoints that may receive requests."""

from __future__ import annotations

import msgspec
import trio
import trio.testing

from shallotmux.fleet import ListedEndpoint, Listing
from shallotmux.forwarding import EndpointDirectory
from shallotmux.forwarding._state import FAILURE_THRESHOLD, EndpointState, InFlightWork

HERE = ListedEndpoint('e-0', 'desk', '10.0.0.1:1', 'a', 4, started_ms=1)
LEAVING = msgspec.structs.replace(HERE, is_leaving=True)
OTHER = ListedEndpoint('e-1', 'desk', '10.0.0.2:1', 'a', 4)


def make_directory(*listed: ListedEndpoint) -> EndpointDirectory:
    """Return a directory with a listing."""
    directory = EndpointDirectory(lambda _: None)
    directory.update_listing(Listing(listed))
    return directory


def names(directory: EndpointDirectory) -> list[str]:
    """Return the identities of the endpoints that may receive requests."""
    return [each.identity for each in directory.usable('desk')]


async def test_leaving_endpoint_gets_no_request(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against requests to endpoints that are about to stop, even if no other is left."""
    directory = make_directory(HERE, OTHER)
    directory.update_listing(Listing((LEAVING, OTHER)))
    assert names(directory) == ['e-1']
    directory.update_listing(Listing((LEAVING,)))
    assert not names(directory)


async def test_leaving_endpoint_stays_leaving(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against an outdated listing that shows a leaving endpoint as ready."""
    directory = make_directory(LEAVING)
    directory.update_listing(Listing((HERE,)))
    assert not names(directory)


async def test_new_start_under_the_same_identity_is_used(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against an endpoint that is excluded for the state of its previous start."""
    directory = make_directory(LEAVING)
    directory.update_listing(Listing((msgspec.structs.replace(HERE, started_ms=2),)))
    assert names(directory) == ['e-0']


async def test_removed_endpoint_is_forgotten(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against requests on idle connections to an address that was reassigned."""
    forgotten: list[str] = []
    directory = EndpointDirectory(forgotten.append)
    directory.update_listing(Listing((HERE, OTHER)))
    forgotten.clear()
    directory.update_listing(Listing((OTHER,)))
    assert names(directory) == ['e-1']
    assert forgotten == ['e-0']


async def test_connection_limit_of_endpoint_is_kept(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against connections that the endpoint resets because instances open too many in total."""
    directory = EndpointDirectory(lambda _: None, max_connections=lambda _: 2)
    directory.update_listing(Listing((HERE, OTHER)))
    state = directory.find('e-0')
    assert state is not None
    with InFlightWork(state, 0), InFlightWork(state, 0):
        assert names(directory) == ['e-1']
    assert names(directory) == ['e-0', 'e-1']


async def test_work_counts_until_it_ends(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against engines that look busy for ever, or idle during prefill."""
    directory = make_directory(HERE)
    state = directory.find('e-0')
    assert state is not None
    with InFlightWork(state, 500) as work:
        await trio.sleep(2)
        assert (state.in_flight, state.queued_prefill_tokens) == (1, 500)
        assert state.is_unresponsive(trio.current_time())
        work.record_answer()
        assert (state.in_flight, state.queued_prefill_tokens) == (1, 0)
        assert not state.is_unresponsive(trio.current_time())
    assert (state.in_flight, state.queued_prefill_tokens) == (0, 0)


async def test_failure_tells_for_how_long_the_endpoint_is_avoided(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against a log line with twice the time for which an endpoint is avoided."""
    state = EndpointState(HERE)
    for _ in range(2):
        avoided_s = [state.record_failure(trio.current_time()) for _ in range(FAILURE_THRESHOLD)]
        assert not any(avoided_s[:-1])
        assert avoided_s[-1] == state.avoided_until - trio.current_time()

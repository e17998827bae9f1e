"""Tests of which endpoints may get requests."""

from __future__ import annotations

import msgspec
import trio
import trio.testing

from shallotmux.fleet import ListedEndpoint, Listing
from shallotmux.forwarding import EndpointDirectory
from shallotmux.forwarding._state import OpenWork

HERE = ListedEndpoint('e-0', 'desk', '10.0.0.1:1', 'a', 4, started_ms=1)
LEAVING = msgspec.structs.replace(HERE, is_leaving=True)
OTHER = ListedEndpoint('e-1', 'desk', '10.0.0.2:1', 'a', 4)


def make_directory(*listed: ListedEndpoint) -> EndpointDirectory:
    """Return a directory that took a list."""
    directory = EndpointDirectory(lambda _: None)
    directory.update_listing(Listing(listed))
    return directory


def names(directory: EndpointDirectory) -> list[str]:
    """Return the endpoints that may get requests."""
    return [each.identity for each in directory.usable('desk')]


async def test_leaving_endpoint_gets_no_request(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against work for endpoints that are about to stop, also when no other is left."""
    directory = make_directory(HERE, OTHER)
    directory.update_listing(Listing((LEAVING, OTHER)))
    assert names(directory) == ['e-1']
    directory.update_listing(Listing((LEAVING,)))
    assert not names(directory)


async def test_endpoint_that_left_does_not_return(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against an older list that shows a leaving endpoint as ready."""
    directory = make_directory(LEAVING)
    directory.update_listing(Listing((HERE,)))
    assert not names(directory)


async def test_new_start_under_the_same_identity_is_used(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against an endpoint that is shunned for what its last start was."""
    directory = make_directory(LEAVING)
    directory.update_listing(Listing((msgspec.structs.replace(HERE, started_ms=2),)))
    assert names(directory) == ['e-0']


async def test_gone_endpoint_is_forgotten(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against requests and idle connections to an address that another endpoint has now."""
    forgotten: list[str] = []
    directory = EndpointDirectory(forgotten.append)
    directory.update_listing(Listing((HERE, OTHER)))
    forgotten.clear()
    directory.update_listing(Listing((OTHER,)))
    assert names(directory) == ['e-1']
    assert forgotten == ['e-0']


async def test_endpoint_gets_no_more_than_its_share(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against connections that the endpoint resets, as it has too many from all instances."""
    directory = EndpointDirectory(lambda _: None, share=lambda _: 2)
    directory.update_listing(Listing((HERE, OTHER)))
    state = directory.find('e-0')
    assert state is not None
    with OpenWork(state, 0), OpenWork(state, 0):
        assert names(directory) == ['e-1']
    assert names(directory) == ['e-0', 'e-1']


async def test_work_counts_until_it_ends(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against engines that seem busy for ever, or idle while they read."""
    directory = make_directory(HERE)
    state = directory.find('e-0')
    assert state is not None
    with OpenWork(state, 500) as work:
        await trio.sleep(2)
        assert (state.in_flight, state.unread_tokens) == (1, 500)
        assert state.is_silent(trio.current_time())
        work.note_answered()
        assert (state.in_flight, state.unread_tokens) == (1, 0)
        assert not state.is_silent(trio.current_time())
    assert (state.in_flight, state.unread_tokens) == (0, 0)

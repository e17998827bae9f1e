"""Tests of polling the platform's lists."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

import msgspec
import pytest
import trio
import trio.testing

from shallotmux.authority import PutObject, TakeAuthority
from shallotmux.errors import EndpointError
from shallotmux.http import HttpRequest, HttpResponse
from shallotmux.provisioning import (
    PlatformEndpoint,
    PlatformInstance,
    PlatformListClient,
    PlatformPoller,
)
from shallotmux.standins import MemoryNetwork, PlatformStandin, SharedGroup
from shallotmux.world import Endpoint, EndpointPool

PLATFORM = '10.2.0.1:80'


async def test_leaving_endpoint_gets_no_new_work_after_two_seconds(
    network: MemoryNetwork, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against new work for an endpoint that the platform is about to reclaim."""
    platform = PlatformStandin()
    network.serve(PLATFORM, platform)
    endpoint = Endpoint('engine-1', 'zone-a', '10.1.0.1:80', cheap=True)
    platform.endpoints['engine-1'] = PlatformEndpoint(endpoint, 'sorting')
    platform.instances['entry-1'] = PlatformInstance('entry-1', 'zone-a')
    group = SharedGroup()
    group.elect('entry-1')
    group.state.apply(PutObject('pool', EndpointPool('sorting', 'zone-a'), 0))
    group.state.apply(TakeAuthority('t', 'entry-1', 1))
    poller = PlatformPoller(
        PlatformListClient(network.client('entry-1'), PLATFORM), 'zone-a', trio.current_time
    )
    ids = (f'poll-{number}' for number in range(100))
    network.nursery.start_soon(
        poller.run, lambda: group.state, group.member('entry-1').submit, 1, lambda: next(ids)
    )
    await trio.sleep(2)
    assert group.state.endpoints_of('sorting') == (endpoint,)
    platform.reclaim('engine-1', 10)
    await trio.sleep(2)
    assert group.state.endpoints_of('sorting') == ()
    platform.withdraw('engine-1')
    await trio.sleep(2)
    assert poller.is_endpoint_gone('engine-1')
    assert not poller.is_instance_gone('entry-1/1')
    assert poller.is_instance_gone('entry-9/1')


@dataclass
class ListResponse:
    """A complete list."""

    body: bytes
    status: int = 200

    @property
    def headers(self) -> dict[str, str]:
        """Return no headers."""
        return {}

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the list."""
        yield self.body


@dataclass
class ListingClient:
    """Client that gets a list with an odd entry among others."""

    entries: tuple[bytes, ...]

    @asynccontextmanager
    async def stream(self, request: HttpRequest) -> AsyncIterator[HttpResponse]:
        """Open the response."""
        await trio.lowlevel.checkpoint()
        yield ListResponse(b'[%b]' % b','.join(self.entries))


def encode_endpoint(name: str, address: str, more: bytes = b'') -> bytes:
    """Return an entry with a further field."""
    listed = PlatformEndpoint(Endpoint(name, 'zone-a', '10.1.0.1:80'), 'sorting')
    encoded = msgspec.json.encode(listed).replace(b'10.1.0.1:80', address.encode())
    return b'%b%b}' % (encoded[:-1], more)


NESTED = b'%b%b' % (b'[' * 900, b']' * 900)

ODD_ENTRIES = (
    b'{}',
    b'null',
    NESTED,
    encode_endpoint('e-9', 'x'),
    encode_endpoint('e-9', '10.1.0.9:65536'),
    encode_endpoint('e-9', '10.1.0.9:80', b',"remaining_s":-1'),
    encode_endpoint('e-9', '10.1.0.9:80', b',"remaining_s":1e300'),
    encode_endpoint('e-9', '10.1.0.9:80', b',"remaining_s":%b' % (b'9' * 400)),
)


@pytest.mark.parametrize('odd', ODD_ENTRIES)
async def test_odd_entry_hides_no_other(odd: bytes) -> None:
    """Guards against one odd entry that hides the others, or gets into the replicated state."""
    sound = [encode_endpoint(f'e-{number}', '10.1.0.1:80') for number in (1, 2)]
    client = PlatformListClient(ListingClient((sound[0], odd, sound[1])), PLATFORM)
    listed = await client.list_endpoints('zone-a')
    assert [each.endpoint.name for each in listed] == ['e-1', 'e-2']


async def test_list_that_is_nested_too_deep_is_an_error() -> None:
    """Guards against a list that ends the leader, which polls it."""
    deep = b'{"more":%b%b}' % (b'[' * 100_000, b']' * 100_000)
    client = PlatformListClient(ListingClient((deep,)), PLATFORM)
    with pytest.raises(EndpointError):
        await client.list_endpoints('zone-a')

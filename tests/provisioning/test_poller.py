"""Tests of polling the platform's lists."""

from __future__ import annotations

import trio
import trio.testing

from shallotmux.authority import PutObject, TakeAuthority
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

"""Tests of sending under a lease over real connections."""

from __future__ import annotations

import pytest
import trio

from shallotmux.calls import GuardedSender, HttpRequest, LeaseExpired
from shallotmux.errors import EndpointRefused
from shallotmux.http import Listener, serve_app
from shallotmux.orders import LeaseGuard
from shallotmux.standins import PlatformStandin, SharedGroup

SENDER = GuardedSender(user_timeout_s=0.5, answer_timeout_s=2)


async def test_order_is_sent_only_under_the_lease(nursery: trio.Nursery) -> None:
    """Guards against writing bytes of an order after the lease has expired."""
    platform = PlatformStandin()
    stop = trio.Event()
    address = await nursery.start(serve_app, platform, Listener('127.0.0.1:0'), stop.wait)
    group = SharedGroup()
    group.elect('entry-1')
    guard = LeaseGuard(group.member('entry-1'), 1)
    body = b'{"operation_id": "u1", "zone": "z"}'
    request = HttpRequest('POST', address, '/usage-reports', body)
    assert (await SENDER.send(request, guard))[0] == 200
    group.elect('entry-2')
    with pytest.raises(LeaseExpired):
        await SENDER.send(request, guard)
    assert len(platform.reports) == 1
    stop.set()


async def test_refused_connection_counts_as_not_sent() -> None:
    """Guards against recording an unanswered attempt although nothing was sent."""
    group = SharedGroup()
    group.elect('entry-1')
    with trio.socket.socket() as unused:
        await unused.bind(('127.0.0.1', 0))
        address = '127.0.0.1:{0}'.format(unused.getsockname()[1])
        request = HttpRequest('POST', address, '/orders', b'{}')
        with pytest.raises(EndpointRefused):
            await SENDER.send(request, LeaseGuard(group.member('entry-1'), 1))


@pytest.mark.parametrize('address', ['127.0.0.1:65536', '[::1', 'a..b:80'])
async def test_order_to_an_odd_address_counts_as_not_sent(address: str) -> None:
    """Guards against an odd address in a list that ends the leader, which sends orders to it."""
    group = SharedGroup()
    group.elect('entry-1')
    with pytest.raises(EndpointRefused):
        await SENDER.send(
            HttpRequest('POST', address, '/orders'), LeaseGuard(group.member('entry-1'), 1)
        )

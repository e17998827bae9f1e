"""Tests of what an instance that has lost its links concludes about requests and endpoints."""

from __future__ import annotations

import pytest
import trio

from tests.forwarding._harness import ReceivedRequest, ScriptedEndpoint, answer, build_request
from tests.forwarding._relay_harness import RelayFleet, RelayInstance, run_relay_fleet
from tests.support.links import Cut, Link
from tests.support.networks import private_network

ENDPOINTS = 3


def build_endpoints() -> tuple[list[ScriptedEndpoint], trio.Event]:
    """Return endpoints that answer once an event is set."""
    answers = trio.Event()

    async def serve(stream: trio.SocketStream, received: ReceivedRequest) -> bool:
        await answers.wait()
        await stream.send_all(answer(received))
        return True

    return [ScriptedEndpoint(serve) for _ in range(ENDPOINTS)], answers


async def cut_under_equal_requests(
    instance: RelayInstance, endpoints: list[ScriptedEndpoint], links: list[Link]
) -> None:
    """Cut all links while each endpoint works on the same request under another id."""
    async with trio.open_nursery() as nursery:
        before = sum(len(each.received) for each in endpoints)
        for number in range(2 * ENDPOINTS):
            nursery.start_soon(_send_ignoring_errors, instance, f'r-{before}-{number}')
        with trio.fail_after(2):
            while sum(len(each.received) for each in endpoints) - before < 2 * ENDPOINTS:
                await trio.sleep(0.01)
        for link in links:
            link.cut(Cut.RESET)


async def _send_ignoring_errors(instance: RelayInstance, request_id: str) -> None:
    await instance.send('/once/', request_id=request_id)


async def run_two_cuts(
    fleet: RelayFleet, *, with_peer: bool
) -> tuple[RelayInstance, list[ScriptedEndpoint]]:
    """Cut an instance off twice under load, and relay a request after each cut if there is a peer."""
    endpoints, answers = build_endpoints()
    links = []
    for endpoint in endpoints:
        await fleet.nursery.start(endpoint.run)
        links.append(Link(endpoint.address))
        await fleet.nursery.start(links[-1].run)
    instance = await fleet.add(
        1, {f'e-{number}': each.address for number, each in enumerate(links)}
    )
    if with_peer:
        reached = {f'e-{number}': each.address for number, each in enumerate(endpoints)}
        await fleet.add(2, reached)
    for _ in range(2):
        await cut_under_equal_requests(instance, endpoints, links)
        answers.set()
        await instance.send('/open/', request_id='other', key='')
        for link in links:
            link.heal()
        with trio.fail_after(3):
            while instance.forwarder.directory.reach.cut_off_services:
                await trio.sleep(0.02)
        await trio.sleep(0.2)
        # The next requests wait again.
        renewed = build_endpoints()
        answers = renewed[1]
        for old, new in zip(endpoints, renewed[0], strict=True):
            old.script = new.script
    return instance, endpoints


@pytest.mark.parametrize('with_peer', [True, False])
async def test_lost_links_quarantine_no_sound_request(*, with_peer: bool) -> None:
    """Guards against a request that is refused as harmful since an instance lost its links under it.

    All connections of the instance broke at once, twice, as if the same request had crashed each
    endpoint. Without a peer that reaches them, they may have crashed.
    """
    async with run_relay_fleet(private_network(140)) as fleet:
        instance, endpoints = await run_two_cuts(fleet, with_peer=with_peer)
        quarantines = instance.forwarder.directory.crashes.quarantines()
        stream = await instance.connect()
        await stream.send_all(build_request('/once/', request_id='last'))
        await trio.sleep(0.1)
        received = [request.headers for each in endpoints for request in each.received]
        reached = sum(b'last' in headers.values() for headers in received)
        await stream.aclose()
    assert bool(quarantines) is not with_peer
    assert reached == int(with_peer)

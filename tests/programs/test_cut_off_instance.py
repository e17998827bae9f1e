"""Tests of entry instances that have lost their links to endpoints, with real programs."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path

import pytest
import trio

from shallotmux.fleet import ListedEndpoint, Listing
from tests.forwarding._harness import (
    ReceivedAnswer,
    ReceivedRequest,
    ScriptedEndpoint,
    answer,
    build_request,
    read_answer,
)
from tests.programs._fleet import CALLER_PORT, Fleet, run_fleet
from tests.programs.test_programs import make_document, put_document
from tests.support.links import Cut, Link
from tests.support.networks import private_network

#: The instance that is cut off; entry 9 is its peer.
CUT_OFF = 8
PEER = 9

ENDPOINTS = 3

#: Time after the start of a cut from which callers must be served nearly as well as elsewhere.
NOTICE_S = 3.0

#: Requests that are sent after that time, and how many of them may fail: one in fifty, and one.
REQUESTS = 30
MAX_FAILED = 1


async def serve(stream: trio.SocketStream, received: ReceivedRequest) -> bool:
    """Send a valid answer."""
    await stream.send_all(answer(received, body=received.body))
    return True


@dataclass(slots=True)
class CutFleet:
    """A fleet with an instance whose links to the endpoints can be cut."""

    fleet: Fleet
    endpoints: list[ScriptedEndpoint]
    links: list[Link]

    def cut(self, how: Cut) -> None:
        """Cut the instance off from all endpoints."""
        for link in self.links:
            link.cut(how)

    def heal(self) -> None:
        """End the cut."""
        for link in self.links:
            link.heal()

    def runs(self, request_id: str) -> int:
        """Return how often a request reached an endpoint."""
        name = request_id.encode()
        return sum(
            received.headers.get(b'x-request-id') == name
            for each in self.endpoints
            for received in each.received
        )

    async def send(self, path: str, request_id: str, extra: str = '') -> ReceivedAnswer:
        """Send a request to the instance on a connection of its own."""
        stream = await trio.open_tcp_stream(f'{self.fleet.base}.{CUT_OFF}', CALLER_PORT)
        async with stream:
            await stream.send_all(build_request(path, request_id=request_id, extra=extra))
            return await read_answer(stream)

    async def count_failed(self, path: str, name: str) -> int:
        """Send requests one after another, and return how many were not served."""
        failed = 0
        for number in range(REQUESTS):
            got = await self.send(path, f'{name}-{number}')
            failed += not (got.status == 200 and got.is_complete and got.body == b'work')
        return failed


@asynccontextmanager
async def run_cut_fleet(
    network: int, folder: Path, *endpoints: ScriptedEndpoint
) -> AsyncIterator[CutFleet]:
    """Run a fleet with two entry instances, one of which reaches the endpoints over links."""
    async with trio.open_nursery() as nursery:
        for endpoint in endpoints:
            await nursery.start(endpoint.run)
        links = [Link(each.address) for each in endpoints]
        for link in links:
            await nursery.start(link.run)
        async with run_fleet(private_network(network), folder, '') as fleet:
            fleet.platform.listing = Listing(
                tuple(
                    ListedEndpoint(f'e-{number}', 'desk', each.address, 'a', 4)
                    for number, each in enumerate(endpoints)
                )
            )
            assert (
                await put_document(fleet, 1, make_document(4, '/safe/', '/once/', '/stream/'))
                == 200
            )
            nursery.start_soon(
                fleet.run_entry, CUT_OFF, {each.target: each.address for each in links}
            )
            cut_fleet = CutFleet(fleet, list(endpoints), links)
            await _wait_until_ready(cut_fleet)
            yield cut_fleet
        nursery.cancel_scope.cancel()


async def _wait_until_ready(cut_fleet: CutFleet) -> None:
    """Wait until the instance serves, and knows that it has a peer."""
    with trio.fail_after(10):
        while True:
            entry = cut_fleet.fleet.entries.get(CUT_OFF)
            if entry is not None and entry.view.instances == 2:
                break
            await trio.sleep(0.05)
        served = 0
        while not served:
            with trio.move_on_after(1):
                got = await cut_fleet.send('/safe/', 'ready')
                served = got.status == 200
            await trio.sleep(0.05)


@pytest.mark.parametrize('path', ['/safe/', '/once/'])
@pytest.mark.parametrize('how', list(Cut))
async def test_callers_of_an_instance_that_is_cut_off_are_served(
    tmp_path: Path, how: Cut, path: str
) -> None:
    """Guards against callers refused by an instance that reaches no endpoint, while its peers do.

    Entry instances lost their links to all endpoints; they refused requests, or held them until the
    callers left.
    """
    endpoints = (ScriptedEndpoint(serve) for _ in range(ENDPOINTS))
    async with run_cut_fleet(101, tmp_path, *endpoints) as cut_fleet:
        cut_fleet.cut(how)
        with trio.move_on_after(NOTICE_S):
            number = 0
            while True:
                await cut_fleet.send(path, f'before-{number}')
                number += 1
        assert await cut_fleet.count_failed(path, 'cut') <= MAX_FAILED
        assert all(cut_fleet.runs(f'cut-{number}') <= 1 for number in range(REQUESTS))

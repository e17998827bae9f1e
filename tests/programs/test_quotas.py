"""Test of the quota of a customer, with real programs that share it over loopback."""

from __future__ import annotations

import json
from pathlib import Path

import trio

from tests.forwarding._harness import ReceivedRequest, ScriptedEndpoint, answer
from tests.programs._fleet import CALLER_PORT, Fleet, run_fleet
from tests.programs.test_programs import put_document, send_request
from tests.support.networks import private_network

ENTRIES = (7, 8, 9)
RATE = 10.0

#: Window and overage of the default terms, and what may arrive in one.
WINDOW_S = 8.0
MAX_IN_WINDOW = 1.1 * (RATE * WINDOW_S + RATE)

TEST_S = 12.0


async def send_repeatedly(fleet: Fleet, entry: int, statuses: list[int]) -> None:
    """Send requests as a customer, one every 50 ms."""
    while True:
        answered = await send_request(
            f'{fleet.url(entry, CALLER_PORT)}/a/',
            b'work',
            Host='shop.example',
            X_Request_Id=f'r-{entry}',
            Authorization='Bearer k1',
        )
        statuses.append(answered.status)
        await trio.sleep(0.05)


async def test_entry_programs_keep_a_quota_together(tmp_path: Path) -> None:
    """Guards against programs that each grant the whole quota, or whose messages do not arrive."""
    times: list[float] = []
    statuses: list[int] = []

    async def serve(stream: trio.SocketStream, received: ReceivedRequest) -> bool:
        times.append(trio.current_time())
        await stream.send_all(answer(received))
        return True

    endpoint = ScriptedEndpoint(serve)
    async with trio.open_nursery() as nursery:
        await nursery.start(endpoint.run)
        async with run_fleet(private_network(98), tmp_path, endpoint.address) as fleet:
            for entry in ENTRIES[:-1]:
                nursery.start_soon(fleet.run_entry, entry)
            document = {'version': 4, 'routes': ['/a/'], 'quota': [RATE, RATE]}
            assert await put_document(fleet, 1, json.dumps(document).encode()) == 200
            for entry in ENTRIES:
                nursery.start_soon(send_repeatedly, fleet, entry, statuses)
            with trio.fail_after(10):
                while not times:
                    await trio.sleep(0.01)
            await trio.sleep(TEST_S)
            nursery.cancel_scope.cancel()
    for start in times:
        assert sum(start <= at < start + WINDOW_S for at in times) <= MAX_IN_WINDOW
    assert len(times) >= RATE * TEST_S / 2
    assert 429 in statuses
    # A request may come before the first document.
    assert set(statuses) <= {200, 429, 503}

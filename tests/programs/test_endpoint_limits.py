"""Test of the limit that an endpoint names, with real programs that share it over loopback."""

from __future__ import annotations

from pathlib import Path

import trio

from tests.forwarding._harness import ReceivedRequest, ScriptedEndpoint, answer
from tests.programs._fleet import CALLER_PORT, Fleet, run_fleet
from tests.programs.test_programs import make_document, put_document, send_request
from tests.support.networks import private_network

ENTRIES = (7, 8, 9)
LIMIT = 2.0

#: Time in which all instances must know a limit, and the length and content of the windows after it.
CONTACT_S = 3.0
WINDOW_S = 4.0
MAX_IN_WINDOW = 1.5 * LIMIT * WINDOW_S + 5

TEST_S = 11.0


async def send_repeatedly(fleet: Fleet, entry: int) -> None:
    """Send requests as a customer, one every 50 ms."""
    while True:
        await send_request(
            f'{fleet.url(entry, CALLER_PORT)}/a/',
            b'work',
            Host='shop.example',
            X_Request_Id=f'r-{entry}',
            Authorization='Bearer k1',
        )
        await trio.sleep(0.05)


async def test_entry_programs_keep_a_limit_together(tmp_path: Path) -> None:
    """Guards against programs that each keep the limit alone, or that never get a permit."""
    times: list[float] = []

    async def serve_with_limit(stream: trio.SocketStream, received: ReceivedRequest) -> bool:
        times.append(trio.current_time())
        await stream.send_all(answer(received, extra=b'X-Endpoint-Limit: %.1f\r\n' % LIMIT))
        return True

    endpoint = ScriptedEndpoint(serve_with_limit)
    async with trio.open_nursery() as nursery:
        await nursery.start(endpoint.run)
        async with run_fleet(private_network(99), tmp_path, endpoint.address) as fleet:
            for entry in ENTRIES[:-1]:
                nursery.start_soon(fleet.run_entry, entry)
            assert await put_document(fleet, 1, make_document(4, '/a/')) == 200
            for entry in ENTRIES:
                nursery.start_soon(send_repeatedly, fleet, entry)
            with trio.fail_after(10):
                while not times:
                    await trio.sleep(0.01)
            await trio.sleep(TEST_S)
            nursery.cancel_scope.cancel()
    counted = [at for at in times if at >= times[0] + CONTACT_S]
    for start in counted:
        assert sum(start <= at < start + WINDOW_S for at in counted) <= MAX_IN_WINDOW
    assert len(counted) >= LIMIT * (TEST_S - CONTACT_S) / 2

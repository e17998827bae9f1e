"""Tests of retries that were reserved for an attempt that is not needed any more."""

from __future__ import annotations

import pytest
import trio

from shallotmux.routes import RouteKind
from tests.forwarding import _harness
from tests.forwarding._harness import (
    ReceivedRequest,
    ScriptedEndpoint,
    answer,
    run_forwarder,
)
from tests.forwarding.test_slow_endpoints import serve_after

#: Size of an answer that does not fit into the buffers on its way.
BODY_BYTES = 200_000

#: Time beyond any after which work at an endpoint out of reach is given up.
LATE_S = 60.0


async def never_answer(stream: trio.SocketStream, received: ReceivedRequest) -> bool:
    """Stay silent."""
    await trio.sleep_forever()
    return False


async def pause_inside(stream: trio.SocketStream, received: ReceivedRequest) -> bool:
    """Pause in the middle of an answer."""
    content = answer(received, bytes(BODY_BYTES))
    await stream.send_all(content[: BODY_BYTES // 2])
    await trio.sleep(0.6)
    await stream.send_all(content[BODY_BYTES // 2 :])
    return True


async def test_answer_in_delivery_is_not_given_up_for_a_retry_that_was_reserved_before(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a cut answer, as a retry was reserved for another attempt of the request.

    The first endpoint is given up as out of reach while the second one runs beside it, and then the
    second one pauses inside its answer while it counts as out of reach as well.
    """
    quick = _harness.route('quick', RouteKind.SAFE, latency_objective_ms=50, max_attempts=4)
    monkeypatch.setattr(_harness, 'ROUTES', (quick,))
    endpoints = [
        ScriptedEndpoint(never_answer),
        ScriptedEndpoint(pause_inside),
        ScriptedEndpoint(serve_after(5)),
    ]
    async with run_forwarder(*endpoints) as harness:
        find = harness.forwarder.directory.find
        find('e-2').avoided_until = trio.current_time() + 0.1005

        async def give_up(identity: str) -> None:
            for work in tuple(find(identity).in_progress):
                work.abandon(trio.current_time() + LATE_S, 1)

        async def give_up_both() -> None:
            while not endpoints[1].received:
                await trio.sleep(0.001)
            find('e-2').avoided_until = 0
            await give_up('e-0')
            await trio.sleep(0.2)
            await give_up('e-1')

        async with trio.open_nursery() as nursery:
            nursery.start_soon(give_up_both)
            got = await harness.make_request('/quick/')
    assert (got.status, len(got.body), got.is_complete) == (200, BODY_BYTES, True)

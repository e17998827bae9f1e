"""Requests to each entry instance on routes and with keys that changes add and drop."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
from random import Random

import h11
import trio

from shallotmux.checking.programs._deployment import Instance
from shallotmux.checking.programs._exchange import FAILURES, connect, encode_request, read_answer
from shallotmux.checking.programs._operator import added_key, added_route
from shallotmux.checking.programs._records import SAFE, Call, Records
from shallotmux.platform import HEADERS

#: Longest pause between two probes of an instance, and time for one.
MAX_PAUSE_S = 0.2
PROBE_TIMEOUT_S = 4.0

#: Newest changes whose routes and keys are probed.
PROBED_CHANGES = 8


@dataclass(slots=True)
class Probes:
    """Probes each entry instance, whether it is ready or not."""

    records: Records
    random: Random
    entries: Callable[[], list[Instance]]
    _numbers: count[int] = field(default_factory=count)

    async def run(self) -> None:
        """Send probes until cancelled."""
        async with trio.open_nursery() as nursery:
            for entry in self.entries():
                nursery.start_soon(self._probe_repeatedly, entry)

    async def _probe_repeatedly(self, entry: Instance) -> None:
        while True:
            await trio.sleep(self.random.uniform(0, MAX_PAUSE_S))
            if entry.is_running and self.records.changes:
                await self._probe(entry, self._choose_item())

    def _choose_item(self) -> str:
        change = self.random.choice(self.records.changes[-PROBED_CHANGES:])
        other = f'/other-{change.version}/'
        routes = (added_route(change.version), added_key(change.version), other)
        return self.random.choice(routes)

    async def _probe(self, entry: Instance, item: str) -> None:
        call = Call(f'p-{next(self._numbers)}', SAFE, entry.name, item=item, run=entry.starts)
        self.records.calls.append(call)
        is_route = item.startswith('/')
        headers = [
            (b'host', b'checks.example'),
            (HEADERS.request_id, call.request_id.encode()),
            (HEADERS.deadline, b'3000'),
            (b'content-length', b'0'),
        ]
        if not is_route:
            headers.append((b'authorization', b'Token %b' % item.encode()))
        target = f'{item}1' if is_route else '/keyed/1'
        head = h11.Request(method=b'GET', target=target.encode(), headers=headers)
        try:
            with trio.fail_after(PROBE_TIMEOUT_S):
                connection = await connect(entry.settings.callers)
                async with connection.stream:
                    await connection.stream.send_all(encode_request(connection, head, b''))
                    call.sent_at = trio.current_time()
                    answer = await read_answer(connection)
                    call.status = answer.status
                    call.body = answer.body
        except FAILURES:
            call.is_closed = True
        except trio.Cancelled:
            # The run is over, and nobody waits for the answer.
            call.sent_at = float('inf')
            call.status = None
            raise
        finally:
            call.ended_at = trio.current_time()

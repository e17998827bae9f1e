"""Stand-ins for the platform and for endpoints, which misbehave on demand."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

import trio

from shallotmux.checking.programs._records import STREAM, Arrival, Records, stream_body
from shallotmux.fleet import ListedEndpoint
from shallotmux.forwarding import CallerRequest, HttpListener, Reply, send_response
from shallotmux.platform import HEADERS
from shallotmux.platform._odd_samples import odd_entries
from shallotmux.platform._samples import encode_listing

SERVICE = 'desk'

#: Shares of requests in a hundred that an endpoint in trouble refuses, resets or never answers, before
#: or after it has worked on them.
TROUBLES = {'refuse': 20, 'reset': 15, 'lose': 15, 'hang': 5}

#: Shortest and longest work on a request, and the time after which one that hangs ends.
WORK_S = (0.002, 0.12)
HANG_S = 6.0

#: Longest pause between two events of a stream.
MAX_EVENT_PAUSE_S = 0.12


@dataclass(slots=True)
class StandInEndpoint:
    """An endpoint that records what arrives; the answer is the id of the request."""

    identity: str
    address: str
    records: Records
    random: Random
    is_in_trouble: bool = False
    is_leaving: bool = False

    def listed(self) -> ListedEndpoint:
        """Return the entry of this endpoint in the platform's list."""
        return ListedEndpoint(
            self.identity,
            SERVICE,
            self.address,
            'a',
            64,
            is_leaving=self.is_leaving,
            software_version='v1',
        )

    async def run(self, *, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled."""
        await HttpListener(self.address, self._handle).run(task_status=task_status)

    async def _handle(self, request: CallerRequest, reply: Reply) -> None:
        request_id = request.text(HEADERS.request_id)
        expected = request.text(HEADERS.expected_endpoint)
        trouble = self._choose_trouble()
        is_refused = trouble == 'refuse' or expected not in {'', self.identity}
        has_run = not is_refused and trouble != 'reset'
        arrival = Arrival(request_id, self.identity, trio.current_time(), has_run, not trouble)
        self.records.arrivals.append(arrival)
        if is_refused:
            await self._answer(request, reply, 503, b'', (HEADERS.not_run, b'1'))
            return
        if trouble == 'reset':
            reply.abort()
            return
        if request.path.startswith(f'/{STREAM}/'):
            await trio.sleep(self.random.uniform(*WORK_S))
            await self._stream(request, reply, trouble)
            return
        await trio.sleep(HANG_S if trouble == 'hang' else self.random.uniform(*WORK_S))
        if trouble == 'lose':
            reply.abort()
            return
        await self._answer(request, reply, 200, request_id.encode())

    async def _stream(self, request: CallerRequest, reply: Reply, trouble: str) -> None:
        """Send a stream; one in trouble stalls or is broken off before its last event is complete."""
        request_id = request.header(HEADERS.request_id) or b''
        headers = ((HEADERS.request_id, request_id), (b'content-type', b'text/event-stream'))
        await reply.send_head(200, (*headers, (b'transfer-encoding', b'chunked')))
        *events, last = stream_body(request_id.decode()).splitlines(keepends=True)
        for event in events:
            await reply.send_part(event)
            await trio.sleep(self.random.uniform(0, MAX_EVENT_PAUSE_S))
        if trouble == 'hang':
            await trio.sleep(HANG_S)
        if trouble == 'lose':
            reply.abort()
            return
        await reply.send_part(last)
        await reply.finish()

    async def _answer(
        self,
        request: CallerRequest,
        reply: Reply,
        status: int,
        body: bytes,
        *extra: tuple[bytes, bytes],
    ) -> None:
        request_id = request.header(HEADERS.request_id) or b''
        await send_response(reply, status, body, ((HEADERS.request_id, request_id), *extra))

    def _choose_trouble(self) -> str:
        if not self.is_in_trouble:
            return ''
        drawn = self.random.randrange(100)
        for trouble, share in TROUBLES.items():
            drawn -= share
            if drawn < 0:
                return trouble
        return ''


@dataclass(slots=True)
class StandInPlatform:
    """The platform's list of endpoints; all other calls are accepted.

    :param odd: entries of other writers that stand in the list.
    """

    address: str
    endpoints: list[StandInEndpoint] = field(default_factory=list)
    odd: tuple[bytes, ...] = ()

    async def run(self, *, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled."""
        await HttpListener(self.address, self._handle).run(task_status=task_status)

    def add_odd_entries(self, random: Random, most: int) -> None:
        """Put some entries of other writers into the list."""
        self.odd = tuple(random.sample(odd_entries(), random.randint(1, most)))

    async def _handle(self, request: CallerRequest, reply: Reply) -> None:
        content = b'{}'
        if request.method == b'GET':
            content = encode_listing(tuple(each.listed() for each in self.endpoints), self.odd)
        await send_response(reply, 200, content, ())

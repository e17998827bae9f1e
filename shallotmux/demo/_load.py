"""A mixed load of streamed and collected answers from several customers."""

from __future__ import annotations

import statistics
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field

import msgspec
import trio

from shallotmux.demo._fleet import DemoZone
from shallotmux.errors import EndpointError
from shallotmux.http import JSON_TYPE, HttpClient, HttpRequest, fetch

CHAT_PATH = '/v1/chat/completions'
STATUS_OK = 200
EVENT_MARK = b'id: '
MS = 1000
ANSWER_LIMIT_BYTES = 1_048_576

#: Prompts of language workers, by the length of the answer they ask for.
PROMPTS: Sequence[tuple[str, int]] = (
    ('Sort lot 7 by shade and width.', 12),
    ('Read the supplier catalogue and list beech offcuts from 14 mm.', 48),
    ('Answer the enquiry: may the blocks of set 3 be ordered singly?', 96),
)


@dataclass(frozen=True, slots=True)
class LoadPlan:
    """How much is sent to each zone.

    :param workers: concurrent callers.
    :param rounds: requests of each caller, one after the other.
    """

    workers: int = 12
    rounds: int = 6


@dataclass(slots=True)
class LoadResult:
    """What came of a load.

    :param outcomes: requests by outcome.
    :param first_token_s: seconds to the first token of each streamed request.
    """

    outcomes: Counter[str] = field(default_factory=Counter)
    first_token_s: list[float] = field(default_factory=list)
    gap_s: list[float] = field(default_factory=list)
    tokens: int = 0

    def summary(self) -> str:
        """Return one readable line."""
        outcomes = ', '.join(f'{count} {name}' for name, count in sorted(self.outcomes.items()))
        first = f'first token {_quantile_ms(self.first_token_s)} ms'
        gaps = f'gap {_quantile_ms(self.gap_s)} ms'
        return f'{outcomes}; {self.tokens} tokens; {first}, {gaps} (median / p95)'


@dataclass(frozen=True, slots=True)
class DemoCall:
    """One chat request."""

    address: str
    secret: str
    model: str
    prompt: str
    max_tokens: int
    stream: bool = True

    def request(self) -> HttpRequest:
        """Return the HTTP request."""
        content = {
            'model': self.model,
            'messages': [{'role': 'user', 'content': self.prompt}],
            'max_tokens': self.max_tokens,
            'stream': self.stream,
        }
        headers = {'authorization': f'Bearer {self.secret}', 'content-type': JSON_TYPE}
        return HttpRequest('POST', self.address, CHAT_PATH, msgspec.json.encode(content), headers)


async def run_load(
    zone: DemoZone, client: HttpClient, secrets: Sequence[str], model: str, plan: LoadPlan
) -> LoadResult:
    """Send the planned requests to a zone; every third answer is collected, the others stream."""
    result = LoadResult()

    async def work(worker: int) -> None:
        for turn in range(plan.rounds):
            prompt, tokens = PROMPTS[(worker + turn) % len(PROMPTS)]
            call = DemoCall(
                zone.entry(worker + turn),
                secrets[worker % len(secrets)],
                model,
                prompt,
                tokens,
                stream=(worker + turn) % 3 != 2,
            )
            await send_call(client, call, result)

    async with trio.open_nursery() as nursery:
        for worker in range(plan.workers):
            nursery.start_soon(work, worker)
    return result


async def send_call(client: HttpClient, call: DemoCall, result: LoadResult) -> int:
    """Send a request, add what came of it to a result, and return its status."""
    started = trio.current_time()
    last = 0.0
    status = 0
    parts: list[bytes] = []
    try:
        async with client.stream(call.request()) as response:
            status = response.status
            async for part in response.chunks():
                parts.append(part)
                now = trio.current_time()
                if call.stream and status == STATUS_OK:
                    times, since = (result.gap_s, last) if last else (result.first_token_s, started)
                    times.append(now - since)
                last = now
    except EndpointError:
        result.outcomes['broken'] += 1
        return status
    result.outcomes[_judge(call, status, b''.join(parts))] += 1
    result.tokens += b''.join(parts).count(EVENT_MARK)
    return status


async def send_jobs(
    zone: DemoZone, client: HttpClient, secret: str, route: str, jobs: int
) -> Counter[str]:
    """Send jobs that must not be repeated, each twice, and return how often each ran."""

    async def send(job: str) -> None:
        headers = {'authorization': f'Bearer {secret}', 'idempotency-key': job}
        path = f'/v1/services/{route}/book'
        request = HttpRequest('POST', zone.entry(0), path, job.encode(), headers)
        await fetch(client, request, ANSWER_LIMIT_BYTES)

    async with trio.open_nursery() as nursery:
        for number in range(jobs):
            for _ in range(2):
                nursery.start_soon(send, f'job-{number}')
    return sum((each.executions for each in zone.services.values()), Counter())


def _judge(call: DemoCall, status: int, body: bytes) -> str:
    if status != STATUS_OK:
        return f'refused ({status})'
    if call.stream:
        complete = b'data: [DONE]' in body and body.count(EVENT_MARK) == call.max_tokens
        return 'streamed' if complete else 'incomplete'
    return 'collected' if b'"completion_tokens":%d,' % call.max_tokens in body else 'incomplete'


def _quantile_ms(times_s: Sequence[float]) -> str:
    """Return the median and the 95th percentile in milliseconds."""
    if len(times_s) < 2:
        return '-'
    tail = statistics.quantiles(times_s, n=20)[-1]
    return f'{statistics.median(times_s) * MS:.1f} / {tail * MS:.1f}'

"""Mixed load of streamed and non-streamed chat requests from several customers."""

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
EVENT_ID_PREFIX = b'id: '
MS_PER_S = 1000
MAX_RESPONSE_BYTES = 1_048_576

#: Prompts with the number of tokens that they request.
PROMPTS: Sequence[tuple[str, int]] = (
    ('Sort lot 7 by shade and width.', 12),
    ('Read the supplier catalogue and list beech offcuts from 14 mm.', 48),
    ('Answer the enquiry: may the blocks of set 3 be ordered singly?', 96),
)


@dataclass(frozen=True, slots=True)
class LoadPlan:
    """Amount of load on each zone.

    :param workers: number of concurrent callers.
    :param rounds: number of sequential requests of each caller.
    """

    workers: int = 12
    rounds: int = 6


@dataclass(slots=True)
class LoadResult:
    """Results of a load.

    :param outcomes: number of requests by outcome.
    :param first_token_times_s: times to first token of streamed requests, in seconds.
    :param gaps_s: gaps between parts of streamed answers, in seconds.
    :param tokens: number of tokens received in streams.
    """

    outcomes: Counter[str] = field(default_factory=Counter)
    first_token_times_s: list[float] = field(default_factory=list)
    gaps_s: list[float] = field(default_factory=list)
    tokens: int = 0

    def summary(self) -> str:
        """Return a summary in one line."""
        outcomes = ', '.join(f'{count} {name}' for name, count in sorted(self.outcomes.items()))
        first = f'first token {_quantile_ms(self.first_token_times_s)} ms'
        gaps = f'gap {_quantile_ms(self.gaps_s)} ms'
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
    """Send the planned requests to a zone; every third one is not streamed."""
    result = LoadResult()

    async def run_worker(worker: int) -> None:
        for round_number in range(plan.rounds):
            prompt, tokens = PROMPTS[(worker + round_number) % len(PROMPTS)]
            call = DemoCall(
                zone.caller_address(worker + round_number),
                secrets[worker % len(secrets)],
                model,
                prompt,
                tokens,
                stream=(worker + round_number) % 3 != 2,
            )
            await send_call(client, call, result)

    async with trio.open_nursery() as nursery:
        for worker in range(plan.workers):
            nursery.start_soon(run_worker, worker)
    return result


async def send_call(client: HttpClient, call: DemoCall, result: LoadResult) -> int:
    """Send a request, add its outcome to a result, and return the HTTP status, or 0 without one."""
    started_s = trio.current_time()
    last_part_s = 0.0
    status = 0
    parts: list[bytes] = []
    try:
        async with client.stream(call.request()) as response:
            status = response.status
            async for part in response.chunks():
                parts.append(part)
                now = trio.current_time()
                if call.stream and status == STATUS_OK:
                    times, previous_s = (
                        (result.gaps_s, last_part_s)
                        if last_part_s
                        else (result.first_token_times_s, started_s)
                    )
                    times.append(now - previous_s)
                last_part_s = now
    except EndpointError:
        result.outcomes['broken'] += 1
        return status
    result.outcomes[_classify_outcome(call, status, b''.join(parts))] += 1
    result.tokens += b''.join(parts).count(EVENT_ID_PREFIX)
    return status


async def send_jobs(
    zone: DemoZone, client: HttpClient, secret: str, route: str, jobs: int
) -> Counter[str]:
    """Send each job twice with the same idempotency key and return the number of runs by job."""

    async def send(job: str) -> None:
        headers = {'authorization': f'Bearer {secret}', 'idempotency-key': job}
        path = f'/v1/services/{route}/book'
        request = HttpRequest('POST', zone.caller_address(0), path, job.encode(), headers)
        await fetch(client, request, MAX_RESPONSE_BYTES)

    async with trio.open_nursery() as nursery:
        for number in range(jobs):
            for _ in range(2):
                nursery.start_soon(send, f'job-{number}')
    return sum((each.executions for each in zone.services.values()), Counter())


def _classify_outcome(call: DemoCall, status: int, body: bytes) -> str:
    if status != STATUS_OK:
        return f'refused ({status})'
    if call.stream:
        complete = b'data: [DONE]' in body and body.count(EVENT_ID_PREFIX) == call.max_tokens
        return 'streamed' if complete else 'incomplete'
    return 'collected' if b'"completion_tokens":%d,' % call.max_tokens in body else 'incomplete'


def _quantile_ms(times_s: Sequence[float]) -> str:
    """Return the median and the 95th percentile in milliseconds."""
    if len(times_s) < 2:
        return '-'
    p95_s = statistics.quantiles(times_s, n=20)[-1]
    return f'{statistics.median(times_s) * MS_PER_S:.1f} / {p95_s * MS_PER_S:.1f}'

"""Callers that stream completions and submit jobs through any instance and check the answers."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import StrEnum
from itertools import cycle

import msgspec
import trio

from shallotmux.checking.processes._child import POLL_INTERVAL_S, WAIT_TIMEOUT_S
from shallotmux.checking.processes._cluster import (
    INSTANCE_NAMES,
    MAX_BODY_BYTES,
    MODEL,
    SERVICE,
    Cluster,
    read_error,
)
from shallotmux.errors import EndpointError, EndpointRefused
from shallotmux.http import HttpRequest, HttpResponse, fetch
from shallotmux.standins import encode_event, prompt_key, token_text

STREAM_CALLERS = 9
JOB_CALLERS = 3
STREAM_TOKENS = 60
EVENT_SEPARATOR = b'\n\n'
DONE_MARKER = b'data: [DONE]'
RESPONSE_ID = 'shallotmux-response-id'


class Outcome(StrEnum):
    """Outcome of one attempt of a caller."""

    DONE = 'done'
    NOT_RUN = 'not run'
    BROKEN = 'broken'
    ERROR = 'error'


def chat_body(prompt: str, tokens: int) -> dict[str, object]:
    """Return the body of a streamed chat completion."""
    messages = [{'role': 'user', 'content': prompt}]
    return {'model': MODEL, 'messages': messages, 'stream': True, 'max_tokens': tokens}


def expected_stream(body: dict[str, object], response_id: str, tokens: int) -> bytes:
    """Return the event stream that the stand-in engine generates for a request."""
    key = prompt_key(body)
    events = [
        encode_event(
            response_id,
            MODEL,
            position + 1,
            token_text(key, position),
            chat=True,
            finish='length' if position + 1 == tokens else None,
        )
        for position in range(tokens)
    ]
    return b''.join((*events, DONE_MARKER, EVENT_SEPARATOR))


@dataclass
class StreamReader:
    """Reads one streamed completion, over several connections if necessary."""

    cluster: Cluster
    prompt: str
    secret: str
    tokens: int = STREAM_TOKENS
    response_id: str = ''
    events: list[bytes] = field(default_factory=list)
    problem: str = ''
    #: Instances through which the stream was read, with the events received before.
    attempts: list[tuple[str, int]] = field(default_factory=list)

    async def attempt(self, name: str) -> Outcome:
        """Start or resume the stream through one instance, and read it to its end."""
        self.attempts.append((name, len(self.events)))
        try:
            async with self.cluster.client.stream(self._request(name)) as response:
                return await self._read(name, response)
        except EndpointRefused as error:
            return self._record_failure(Outcome.NOT_RUN, error.message)
        except EndpointError as error:
            if self.events and self.events[-1] == DONE_MARKER:
                # The connection broke between the end marker and the last chunk; nothing is missing.
                return Outcome.DONE
            return self._record_failure(Outcome.BROKEN, f'{name}: {error.message}')

    def find_difference(self) -> str:
        """Return how the received events differ from the output of the engine; empty if they do not."""
        body = chat_body(self.prompt, self.tokens)
        expected = expected_stream(body, self.response_id, self.tokens).split(EVENT_SEPARATOR)[:-1]
        if self.events == expected:
            return ''
        pairs = enumerate(zip(self.events, expected, strict=False))
        first = next((number for number, (one, other) in pairs if one != other), None)
        position = min(len(self.events), len(expected)) if first is None else first
        found, wanted = self.events[position : position + 1], expected[position : position + 1]
        return f'{len(self.events)} events, event {position} is {found} and not {wanted}'

    def _request(self, name: str) -> HttpRequest:
        headers = {'authorization': f'Bearer {self.secret}'}
        if self.events:
            headers[RESPONSE_ID] = self.response_id
            headers['last-event-id'] = str(len(self.events))
        body = msgspec.json.encode(chat_body(self.prompt, self.tokens))
        address = self.cluster.daemons[name].callers
        return HttpRequest('POST', address, '/v1/chat/completions', body, headers)

    async def _read(self, name: str, response: HttpResponse) -> Outcome:
        if response.status != 200:
            return self._classify_error(b''.join([part async for part in response.chunks()]))
        self.response_id = response.headers[RESPONSE_ID]
        incomplete = b''
        with self.cluster.count_stream(name):
            async for part in response.chunks():
                *events, incomplete = (incomplete + part).split(EVENT_SEPARATOR)
                self.events.extend(events)
        if self.events and self.events[-1].startswith(b'data: {"error"'):
            return self._classify_error(self.events.pop().removeprefix(b'data: '))
        if self.events and self.events[-1] == DONE_MARKER:
            return Outcome.DONE
        return self._record_failure(Outcome.BROKEN, f'{name}: stream ended without its end marker')

    def _classify_error(self, body: bytes) -> Outcome:
        error = read_error(body)
        kind = Outcome.NOT_RUN if error.get('not_run') else Outcome.ERROR
        return self._record_failure(kind, str(error.get('code', body[:80])))

    def _record_failure(self, outcome: Outcome, problem: str) -> Outcome:
        self.problem = problem
        return outcome


@dataclass
class StreamLoad:
    """Callers that stream one completion after another.

    :param should_resume: whether broken streams are resumed instead of counted as violations.
    """

    cluster: Cluster
    should_resume: bool
    finished: int = 0
    resumed: int = 0
    refusals: Counter[str] = field(default_factory=Counter)
    violations: list[str] = field(default_factory=list)
    is_stopping: bool = False

    async def run(self) -> None:
        """Stream until :attr:`is_stopping` is set, then finish the open streams."""
        async with trio.open_nursery() as nursery:
            for caller_number in range(STREAM_CALLERS):
                nursery.start_soon(self._call, caller_number)

    async def _call(self, caller_number: int) -> None:
        request_number = caller_number
        while not self.is_stopping:
            await self._stream(
                f'Sort lot {caller_number} of sheet {request_number}.', request_number
            )
            request_number += 1

    async def _stream(self, prompt: str, request_number: int) -> None:
        reader = StreamReader(self.cluster, prompt, self.cluster.secret)
        with trio.move_on_after(WAIT_TIMEOUT_S):
            for name in cycle(
                (*INSTANCE_NAMES[request_number % 3 :], *INSTANCE_NAMES[: request_number % 3])
            ):
                outcome = await reader.attempt(name)
                if outcome == Outcome.DONE:
                    self._check(reader)
                    return
                if not self._may_retry(reader, outcome, name):
                    return
                await trio.sleep(POLL_INTERVAL_S)
        self.violations.append(f'{prompt} not finished in time: {reader.problem}')

    def _check(self, reader: StreamReader) -> None:
        self.finished += 1
        difference = reader.find_difference()
        if difference:
            self.violations.append(
                f'{reader.prompt} differs from the output of the engine: {difference}, '
                f'attempts {reader.attempts}'
            )

    def _may_retry(self, reader: StreamReader, outcome: Outcome, name: str) -> bool:
        if reader.problem == 'invalid_api_key':
            self.violations.append(f'{reader.prompt} {name}: a valid key was refused as invalid')
        if outcome == Outcome.NOT_RUN:
            self.refusals[reader.problem.partition(':')[0]] += 1
            return True
        if self.should_resume:
            self.resumed += bool(reader.events)
            if outcome == Outcome.ERROR:
                self.refusals[reader.problem] += 1
            return True
        self.violations.append(f'{reader.prompt} {outcome}: {reader.problem}')
        return False


@dataclass
class JobLoad:
    """Callers of the plain service whose jobs must run at most once.

    :param done: answers by job.
    :param unknown: jobs that were reported with an unknown outcome.
    """

    cluster: Cluster
    done: dict[str, bytes] = field(default_factory=dict)
    unknown: list[str] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)
    retries: int = 0
    is_stopping: bool = False

    async def run(self) -> None:
        """Submit jobs until :attr:`is_stopping` is set."""
        async with trio.open_nursery() as nursery:
            for caller_number in range(JOB_CALLERS):
                nursery.start_soon(self._call, caller_number)

    async def submit(self, job: str, request_number: int) -> None:
        """Submit a job, and retry through other instances until its outcome is known."""
        with trio.move_on_after(WAIT_TIMEOUT_S):
            names = cycle(
                (*INSTANCE_NAMES[request_number % 3 :], *INSTANCE_NAMES[: request_number % 3])
            )
            while not await self._attempt(job, next(names)):
                self.retries += 1
                await trio.sleep(POLL_INTERVAL_S)
            return
        self.violations.append(f'{job}: no outcome in time')

    async def check_runs(self) -> Counter[str]:
        """Count the jobs by number of runs, and record those that ran a wrong number of times.

        The service answers each direct call with the number of runs of that job, this call
        included.
        """
        runs: Counter[str] = Counter()
        for job in (*self.done, *self.unknown):
            request = HttpRequest('POST', self.cluster.service, '/run', job.encode())
            _, body = await fetch(self.cluster.client, request, MAX_BODY_BYTES)
            times = msgspec.json.decode(body)['run'] - 1
            runs[str(times)] += 1
            if times > 1 or (job in self.done and times != 1):
                self.violations.append(f'{job} ran {times} times')
        return runs

    async def _call(self, caller_number: int) -> None:
        request_number = caller_number
        while not self.is_stopping:
            await self.submit(f'job-{caller_number}-{request_number}', request_number)
            request_number += 1

    async def _attempt(self, job: str, name: str) -> bool:
        headers = {'authorization': f'Bearer {self.cluster.secret}', 'idempotency-key': job}
        address = self.cluster.daemons[name].callers
        path = f'/v1/services/{SERVICE}/run'
        request = HttpRequest('POST', address, path, job.encode(), headers)
        try:
            status, body = await fetch(self.cluster.client, request, MAX_BODY_BYTES)
        except EndpointError:
            return False
        if status == 200:
            self.done[job] = body
            return True
        if status == 409 and read_error(body).get('code') == 'outcome_unknown':
            self.unknown.append(job)
            return True
        return False

"""Callers that stream completions and book jobs through any instance, and check the answers."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import StrEnum
from itertools import cycle

import msgspec
import trio

from shallotmux.checking.processes._child import DEADLINE_S, POLL_S
from shallotmux.checking.processes._fleet import (
    LIMIT_BYTES,
    MODEL,
    NAMES,
    SERVICE,
    Fleet,
    read_error,
)
from shallotmux.errors import EndpointError, EndpointRefused
from shallotmux.http import HttpRequest, HttpResponse, fetch
from shallotmux.standins import encode_event, prompt_key, token_text

STREAMS = 9
JOB_CALLERS = 3
TOKENS = 60
EVENT_END = b'\n\n'
DONE = b'data: [DONE]'
RESPONSE_ID = 'shallotmux-response-id'


class Outcome(StrEnum):
    """How one attempt of a caller ended."""

    DONE = 'done'
    NOT_RUN = 'not run'
    BROKEN = 'broken'
    ERROR = 'error'


def chat_body(prompt: str, tokens: int) -> dict[str, object]:
    """Return the body of a streamed chat completion."""
    messages = [{'role': 'user', 'content': prompt}]
    return {'model': MODEL, 'messages': messages, 'stream': True, 'max_tokens': tokens}


def expected_stream(body: dict[str, object], response_id: str, tokens: int) -> bytes:
    """Return the bytes that an engine generates for a request."""
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
    return b''.join((*events, DONE, EVENT_END))


@dataclass
class StreamReader:
    """One streamed completion, read over as many connections as it takes."""

    fleet: Fleet
    prompt: str
    secret: str
    tokens: int = TOKENS
    response_id: str = ''
    events: list[bytes] = field(default_factory=list)
    problem: str = ''

    async def attempt(self, name: str) -> Outcome:
        """Start or resume the stream through one instance, and read it to its end."""
        try:
            async with self.fleet.client.stream(self._request(name)) as response:
                return await self._read(name, response)
        except EndpointRefused as error:
            return self._fail(Outcome.NOT_RUN, error.message)
        except EndpointError as error:
            return self._fail(Outcome.BROKEN, f'{name}: {error.message}')

    def is_expected(self) -> bool:
        """Tell whether the joined events are the engine's output."""
        body = chat_body(self.prompt, self.tokens)
        joined = b''.join(event + EVENT_END for event in self.events)
        return joined == expected_stream(body, self.response_id, self.tokens)

    def _request(self, name: str) -> HttpRequest:
        headers = {'authorization': f'Bearer {self.secret}'}
        if self.events:
            headers[RESPONSE_ID] = self.response_id
            headers['last-event-id'] = str(len(self.events))
        body = msgspec.json.encode(chat_body(self.prompt, self.tokens))
        address = self.fleet.daemons[name].callers
        return HttpRequest('POST', address, '/v1/chat/completions', body, headers)

    async def _read(self, name: str, response: HttpResponse) -> Outcome:
        if response.status != 200:
            return self._explain(b''.join([part async for part in response.chunks()]))
        self.response_id = response.headers[RESPONSE_ID]
        rest = b''
        with self.fleet.count_stream(name):
            async for part in response.chunks():
                *events, rest = (rest + part).split(EVENT_END)
                self.events.extend(events)
        if self.events and self.events[-1].startswith(b'data: {"error"'):
            return self._explain(self.events.pop().removeprefix(b'data: '))
        if self.events and self.events[-1] == DONE:
            return Outcome.DONE
        return self._fail(Outcome.BROKEN, f'{name}: stream ended without its end marker')

    def _explain(self, body: bytes) -> Outcome:
        error = read_error(body)
        kind = Outcome.NOT_RUN if error.get('not_run') else Outcome.ERROR
        return self._fail(kind, str(error.get('code', body[:80])))

    def _fail(self, outcome: Outcome, problem: str) -> Outcome:
        self.problem = problem
        return outcome


@dataclass
class StreamLoad:
    """Callers that stream one completion after another.

    :param resumes: whether a broken stream is resumed rather than counted as a violation.
    """

    fleet: Fleet
    resumes: bool
    finished: int = 0
    resumed: int = 0
    refusals: Counter[str] = field(default_factory=Counter)
    violations: list[str] = field(default_factory=list)
    stopping: bool = False

    async def run(self) -> None:
        """Stream until :attr:`stopping`, and finish the open streams."""
        async with trio.open_nursery() as nursery:
            for number in range(STREAMS):
                nursery.start_soon(self._call, number)

    async def _call(self, number: int) -> None:
        turn = number
        while not self.stopping:
            await self._stream(f'Sort lot {number} of sheet {turn}.', turn)
            turn += 1

    async def _stream(self, prompt: str, turn: int) -> None:
        reader = StreamReader(self.fleet, prompt, self.fleet.secret)
        with trio.move_on_after(DEADLINE_S):
            for name in cycle((*NAMES[turn % 3 :], *NAMES[: turn % 3])):
                outcome = await reader.attempt(name)
                if outcome == Outcome.DONE:
                    self._check(reader)
                    return
                if not self._may_retry(reader, outcome, name):
                    return
                await trio.sleep(POLL_S)
        self.violations.append(f'{prompt} not finished in time: {reader.problem}')

    def _check(self, reader: StreamReader) -> None:
        self.finished += 1
        if not reader.is_expected():
            self.violations.append(f'{reader.prompt} differs from the output of the engine')

    def _may_retry(self, reader: StreamReader, outcome: Outcome, name: str) -> bool:
        if reader.problem == 'invalid_api_key':
            self.violations.append(f'{reader.prompt} {name}: a valid key was refused as invalid')
        if outcome == Outcome.NOT_RUN:
            self.refusals[reader.problem.partition(':')[0]] += 1
            return True
        if self.resumes:
            self.resumed += bool(reader.events)
            if outcome == Outcome.ERROR:
                self.refusals[reader.problem] += 1
            return True
        self.violations.append(f'{reader.prompt} {outcome}: {reader.problem}')
        return False


@dataclass
class JobLoad:
    """Callers of the plain service whose jobs must not be repeated.

    :param done: jobs with an answer, and the answer.
    :param unknown: jobs that ended with a truthful unknown outcome.
    """

    fleet: Fleet
    done: dict[str, bytes] = field(default_factory=dict)
    unknown: list[str] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)
    resent: int = 0
    stopping: bool = False

    async def run(self) -> None:
        """Book jobs until :attr:`stopping`."""
        async with trio.open_nursery() as nursery:
            for number in range(JOB_CALLERS):
                nursery.start_soon(self._call, number)

    async def book(self, job: str, turn: int) -> None:
        """Book one job, and send it again through others until its outcome is known."""
        with trio.move_on_after(DEADLINE_S):
            names = cycle((*NAMES[turn % 3 :], *NAMES[: turn % 3]))
            while not await self._attempt(job, next(names)):
                self.resent += 1
                await trio.sleep(POLL_S)
            return
        self.violations.append(f'{job}: no outcome in time')

    async def check_runs(self) -> Counter[str]:
        """Return how many jobs ran how often by the service's own count, and note repeated ones.

        The service answers each direct call with the number of runs of that job.
        """
        runs: Counter[str] = Counter()
        for job in (*self.done, *self.unknown):
            request = HttpRequest('POST', self.fleet.service, '/run', job.encode())
            _, body = await fetch(self.fleet.client, request, LIMIT_BYTES)
            times = msgspec.json.decode(body)['run'] - 1
            runs[str(times)] += 1
            if times > 1 or (job in self.done and times != 1):
                self.violations.append(f'{job} ran {times} times')
        return runs

    async def _call(self, number: int) -> None:
        turn = number
        while not self.stopping:
            await self.book(f'job-{number}-{turn}', turn)
            turn += 1

    async def _attempt(self, job: str, name: str) -> bool:
        headers = {'authorization': f'Bearer {self.fleet.secret}', 'idempotency-key': job}
        address = self.fleet.daemons[name].callers
        path = f'/v1/services/{SERVICE}/run'
        request = HttpRequest('POST', address, path, job.encode(), headers)
        try:
            status, body = await fetch(self.fleet.client, request, LIMIT_BYTES)
        except EndpointError:
            return False
        if status == 200:
            self.done[job] = body
            return True
        if status == 409 and read_error(body).get('code') == 'outcome_unknown':
            self.unknown.append(job)
            return True
        return False

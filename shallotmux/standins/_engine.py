"""Stand-in for an engine that runs a language model."""

from __future__ import annotations

import math
from bisect import bisect_right
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

import msgspec
import trio

from shallotmux.engines import hash_prompt
from shallotmux.http import (
    EVENT_STREAM_TYPE,
    Receive,
    Scope,
    Send,
    read_body,
    send_chunk,
    send_json,
    send_start,
)
from shallotmux.standins._cost_model import BLOCK_TOKENS, BlockCache
from shallotmux.standins._orders import OrderReceiver
from shallotmux.standins._tokens import encode_event, prompt_key, token_text

MAX_BODY_BYTES = 16_777_216

#: Bytes of an encoded prompt that count as one token.
BYTES_PER_TOKEN = 4

#: Maximum number of cache events in one response.
MAX_EVENTS_PER_PAGE = 1000

#: Number of generated tokens after which a stream fault takes effect.
FAULT_AFTER_TOKENS = 2

#: Response id that matches no request, for the fault ``cross``.
OTHER_RESPONSE_ID = 'chatcmpl-of-another-request'


class EngineFault(StrEnum):
    """Fault injected into a single run.

    ``refuse`` answers that the run did not start, and ``crash`` ends all runs of the engine.
    ``pause`` delays the stream, and ``cut`` aborts it. ``truncate`` ends it early with an end
    marker, and ``end`` without one. ``duplicate`` sends each event twice, and ``skip`` leaves out
    an event id. ``cross`` returns the response id of another request, and ``other_attempt`` the id
    and the tokens of another attempt.
    """

    REFUSE = 'refuse'
    CRASH = 'crash'
    PAUSE = 'pause'
    CUT = 'cut'
    TRUNCATE = 'truncate'
    END = 'end'
    CROSS = 'cross'
    DUPLICATE = 'duplicate'
    SKIP = 'skip'
    OTHER_ATTEMPT = 'other_attempt'


#: Faults that end a stream early but cleanly: ``truncate`` with an end marker, ``end`` without.
EARLY_END_FAULTS = frozenset((EngineFault.TRUNCATE, EngineFault.END))


@dataclass(slots=True)
class EngineBehaviour:
    """Behaviour of the stand-in.

    :param token_s: seconds between tokens.
    :param refuse: whether every run is refused with the statement that it did not run.
    :param crash_after: number of tokens after which each stream breaks, or None.
    :param batch_limit: maximum number of concurrent streams; further runs queue in the engine.
    :param prefill_tokens_per_s: prompt tokens processed per second, one prompt at a time.
    :param lag_s: age in seconds of load reports and of the newest cache event that is published.
    :param cache_blocks: capacity of the prefix cache in blocks, or 0 to disable it.
    :param event_gap: every n-th cache event is dropped, or 0 to drop none.
    :param paused: whether token generation is suspended.
    :param draining: whether new runs are refused.
    :param poison: a run whose body contains these bytes crashes the engine, if not empty.
    :param poison_after: number of tokens that such a run generates before the crash.
    :param pause_s: duration of the fault ``pause`` in seconds.
    :param faults: faults of the next runs, one for each run.
    """

    token_s: float = 0.005
    refuse: bool = False
    crash_after: int | None = None
    batch_limit: int = 64
    prefill_tokens_per_s: float = math.inf
    lag_s: float = 0.0
    cache_blocks: int = 0
    event_gap: int = 0
    paused: bool = False
    draining: bool = False
    poison: bytes = b''
    poison_after: int = 0
    pause_s: float = 20.0
    faults: deque[EngineFault] = field(default_factory=deque)


@dataclass(frozen=True, slots=True)
class RecordedRequest:
    """A request that the stand-in received, recorded for assertions."""

    time_s: float
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    query: bytes = b''


@dataclass(eq=False, slots=True)
class EngineRunRecord:
    """A run, recorded for assertions.

    :param tokens: number of tokens sent.
    :param refused: whether the engine answered that the request was not run.
    :param cached_tokens: number of prompt tokens found in the cache.
    :param cancelled: whether the run was cancelled before its last token.
    """

    payload: dict[str, Any]
    started_s: float
    fault: EngineFault | None = None
    tokens: int = 0
    cached_tokens: int = 0
    refused: bool = False
    finished: bool = False
    cancelled: bool = False
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    admitted: trio.Event = field(default_factory=trio.Event)

    @property
    def attempt_id(self) -> str:
        """Id of the attempt."""
        return str(self.payload['attempt_id'])


@dataclass(slots=True)
class EngineStandin:
    """ASGI application that implements the engine protocol.

    :param on_crash: called after a crash, for example to remove the engine from the network.
    """

    name: str
    behaviour: EngineBehaviour = field(default_factory=EngineBehaviour)
    history: list[RecordedRequest] = field(default_factory=list)
    running: dict[str, EngineRunRecord] = field(default_factory=dict)
    waiting: list[EngineRunRecord] = field(default_factory=list)
    runs: list[EngineRunRecord] = field(default_factory=list)
    orders: OrderReceiver = field(default_factory=OrderReceiver)
    crashes: int = 0
    on_crash: Callable[[], None] | None = None
    _recent_reports: deque[dict[str, Any]] = field(default_factory=deque)
    _cache: BlockCache = field(default_factory=lambda: BlockCache(0))
    _cache_change_times: list[float] = field(default_factory=list)
    _prefill_lock: trio.Lock = field(default_factory=trio.Lock)

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one ASGI connection."""
        if scope['type'] != 'http':
            return
        body = await read_body(receive, MAX_BODY_BYTES)
        headers = tuple(
            (str(key, 'latin-1'), str(text, 'latin-1')) for key, text in scope['headers']
        )
        self.history.append(
            RecordedRequest(
                trio.current_time(),
                scope['method'],
                scope['path'],
                headers,
                body,
                scope.get('query_string', b''),
            ),
        )
        match scope['path']:
            case '/run':
                await self._run(body, send)
            case '/cancel':
                cancelled = self._cancel(msgspec.json.decode(body)['attempt_id'])
                await send_json(send, 200, {'cancelled': cancelled})
            case '/load':
                await send_json(send, 200, self._load())
            case '/orders':
                await self._handle_order(str(scope['client'][0]), body, send)
            case '/cache-events' if self.behaviour.cache_blocks:
                since = int(scope['query_string'].partition(b'=')[2])
                await send_json(send, 200, self._cache_page(since))
            case _:
                await send_json(send, 404, {'not_run': True})

    def crash(self) -> None:
        """Abort all running and queued runs and clear the cache."""
        self.crashes += 1
        self._abort_all_runs()
        if self.on_crash is not None:
            self.on_crash()

    async def _handle_order(self, source: str, body: bytes, send: Send) -> None:
        changing = self.orders.is_changing()
        try:
            status = self.orders.receive(source, msgspec.json.decode(body))
        finally:
            if self.orders.is_changing() and not changing:
                self._abort_all_runs()
        await send_json(send, status, {})

    def _abort_all_runs(self) -> None:
        aborted = [*self.running.values(), *self.waiting]
        self.running.clear()
        self.waiting.clear()
        self._cache = BlockCache(0)
        self._cache_change_times.clear()
        for record in aborted:
            record.cancelled = True
            record.scope.cancel()

    def _cancel(self, attempt_id: str) -> bool:
        matching = [
            each for each in self.runs if each.attempt_id == attempt_id and not each.finished
        ]
        for record in matching:
            record.cancelled = True
            record.scope.cancel()
        return bool(matching)

    def _load(self) -> dict[str, Any]:
        now = trio.current_time()
        report = {
            'role': self.orders.role,
            'model': '',
            'queued_prefill_tokens': sum(_prompt_tokens(each) for each in self.waiting),
            'running': len(self.running) + len(self.waiting),
            'free_cache_blocks': 64,
            'prefill_tokens_per_s': min(self.behaviour.prefill_tokens_per_s, 1e9),
            'step_s': self.behaviour.token_s,
            'as_of': now,
        }
        self._recent_reports.append(report)
        while (
            len(self._recent_reports) > 1
            and self._recent_reports[1]['as_of'] <= now - self.behaviour.lag_s
        ):
            self._recent_reports.popleft()
        return self._recent_reports[0] if self.behaviour.lag_s else report

    def _prefill_through_cache(self, record: EngineRunRecord) -> None:
        """Look up the prompt in the cache and store its missing blocks."""
        if not self.behaviour.cache_blocks:
            return
        cache = self._cache
        cache.capacity = self.behaviour.cache_blocks
        blocks = hash_prompt(record.payload)
        record.cached_tokens = cache.cached_prefix(blocks) * BLOCK_TOKENS
        if cache.pin(blocks):
            cache.unpin(blocks)
        now = trio.current_time()
        self._cache_change_times.extend(now for _ in cache.changes[len(self._cache_change_times) :])

    def _cache_page(self, since: int) -> dict[str, Any]:
        until_s = trio.current_time() - self.behaviour.lag_s
        last = bisect_right(self._cache_change_times, until_s)
        gap = self.behaviour.event_gap
        events = [
            {'sequence': each.sequence, 'block': each.block, 'stored': each.stored}
            for each in self._cache.changes[since : min(last, since + MAX_EVENTS_PER_PAGE)]
            if not gap or each.sequence % gap
        ]
        return {'events': events, 'last': last}

    async def _run(self, body: bytes, send: Send) -> None:
        behaviour = self.behaviour
        fault = behaviour.faults.popleft() if behaviour.faults else None
        record = EngineRunRecord(msgspec.json.decode(body), trio.current_time(), fault)
        self.runs.append(record)
        unavailable = behaviour.refuse or behaviour.draining or self.orders.is_changing()
        if unavailable or fault == EngineFault.REFUSE:
            record.refused = True
            await send_json(send, 409, {'not_run': True})
            return
        poisoned = bool(behaviour.poison) and behaviour.poison in body
        try:
            with record.scope:
                await self._wait_for_admission(record)
                await self._generate(record, send, poisoned=poisoned)
        finally:
            self._remove_run(record)
        if not record.finished:
            raise ConnectionResetError(f'stream of engine {self.name} ended early')

    async def _wait_for_admission(self, record: EngineRunRecord) -> None:
        self.waiting.append(record)
        self._fill_batch()
        await record.admitted.wait()

    def _fill_batch(self) -> None:
        self.waiting.sort(key=lambda each: -int(each.payload.get('priority', 0)))
        while self.waiting and len(self.running) < self.behaviour.batch_limit:
            record = self.waiting.pop(0)
            self.running[record.attempt_id] = record
            record.admitted.set()

    def _remove_run(self, record: EngineRunRecord) -> None:
        if self.running.get(record.attempt_id) is record:
            self.running.pop(record.attempt_id)
        if record in self.waiting:
            self.waiting.remove(record)
        self._fill_batch()

    async def _generate(self, record: EngineRunRecord, send: Send, *, poisoned: bool) -> None:
        behaviour = self.behaviour
        payload = record.payload
        if math.isfinite(behaviour.prefill_tokens_per_s):
            async with self._prefill_lock:
                self._prefill_through_cache(record)
                uncached_tokens = _prompt_tokens(record) - record.cached_tokens
                await trio.sleep(uncached_tokens / behaviour.prefill_tokens_per_s)
        else:
            self._prefill_through_cache(record)
        returned_id = 'another' if record.fault == EngineFault.OTHER_ATTEMPT else record.attempt_id
        headers = ((b'shallotmux-attempt-id', returned_id.encode()),)
        await send_start(send, 200, EVENT_STREAM_TYPE, headers)
        max_tokens = payload.get('max_tokens', 256)
        key = prompt_key(payload)
        if record.fault == EngineFault.OTHER_ATTEMPT:
            key = bytes(reversed(key))  # Sampling yields different tokens in each attempt.
        end_marker = b'data: [DONE]\n\n'
        for position in range(payload['offset'], max_tokens):
            if poisoned and record.tokens >= behaviour.poison_after:
                self.crash()
            await self._generate_token(record, position)
            if record.tokens == FAULT_AFTER_TOKENS and record.fault in EARLY_END_FAULTS:
                end_marker = end_marker if record.fault == EngineFault.TRUNCATE else b''
                break
            finish = 'length' if position + 1 == max_tokens else None
            event = self._event(record, key, position, finish)
            await send_chunk(send, event)
            record.tokens += 1
        record.finished = True
        await send_chunk(send, end_marker, more=False)

    async def _generate_token(self, record: EngineRunRecord, position: int) -> None:
        """Simulate one decode step, with the faults that end or delay the stream."""
        crash_after = self.behaviour.crash_after
        if crash_after is not None and position >= crash_after:
            raise ConnectionResetError(f'engine {self.name} crashed')
        if record.tokens == FAULT_AFTER_TOKENS:
            match record.fault:
                case EngineFault.CRASH:
                    self.crash()
                case EngineFault.CUT:
                    record.scope.cancel()
                case EngineFault.PAUSE:
                    await trio.sleep(self.behaviour.pause_s)
        await trio.sleep(self.behaviour.token_s)
        while self.behaviour.paused:
            await trio.sleep(self.behaviour.token_s)

    def _event(
        self, record: EngineRunRecord, key: bytes, position: int, finish: str | None
    ) -> bytes:
        payload = record.payload
        is_faulted = record.tokens >= FAULT_AFTER_TOKENS
        is_skipped = is_faulted and record.fault == EngineFault.SKIP
        is_crossed = is_faulted and record.fault == EngineFault.CROSS
        event = encode_event(
            OTHER_RESPONSE_ID if is_crossed else payload['response_id'],
            payload['model'],
            position + 2 if is_skipped else position + 1,
            token_text(key, position),
            chat=payload['chat'],
            finish=finish,
        )
        return event * 2 if record.fault == EngineFault.DUPLICATE else event


def _prompt_tokens(record: EngineRunRecord) -> int:
    prompt = record.payload.get('messages', record.payload.get('prompt', ''))
    return len(msgspec.json.encode(prompt)) // BYTES_PER_TOKEN

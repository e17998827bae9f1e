"""Stand-in for an engine of the platform."""

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

BODY_LIMIT_BYTES = 16_777_216

#: Bytes of a request body that count as a token of the prompt.
BYTES_PER_TOKEN = 4

#: Cache events in one answer.
EVENT_PAGE = 1000

#: Tokens after which a fault that breaks a stream takes effect.
FAULT_POSITION = 2

#: Response id that no request has, for answers that were crossed.
FOREIGN_ID = 'chatcmpl-of-another-request'


class EngineFault(StrEnum):
    """A fault that the next run suffers once."""

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


#: Faults after which the stream ends properly but too early, with and without its end marker.
SHORTENING = frozenset((EngineFault.TRUNCATE, EngineFault.END))


@dataclass(slots=True)
class EngineBehaviour:
    """How the stand-in behaves.

    :param token_s: seconds between tokens.
    :param refuse: answer every run with a truthful refusal.
    :param crash_after: tokens after which each stream breaks, or None.
    :param batch_limit: streams that run at a time; further ones wait in the engine.
    :param prefill_tokens_per_s: prompt tokens processed in a second, one prompt at a time.
    :param lag_s: age of the load reports and of the newest cache event.
    :param cache_blocks: blocks of the prefix cache, or 0 for an engine without one.
    :param event_gap: number of cache events after which one is left out, or 0.
    :param paused: whether no token is generated at present.
    :param draining: whether new runs are refused.
    :param poison: a run whose body contains this text crashes the engine, if not empty.
    :param poison_after: tokens that such a run generates first.
    :param pause_s: length of a pause caused by a fault.
    :param faults: faults of the next runs, one each.
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
class Received:
    """A request that the stand-in received, as evidence for checks."""

    time_s: float
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    query: bytes = b''


@dataclass(eq=False, slots=True)
class EngineRunRecord:
    """A run, as evidence for checks.

    :param refused: whether the engine said that it did not run.
    :param cached_tokens: prompt tokens that were in the cache.
    :param cancelled: whether the stream was ended from outside before its last token.
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
        """Return the id of the attempt."""
        return str(self.payload['attempt_id'])


@dataclass(slots=True)
class EngineStandin:
    """ASGI application that speaks the engine protocol.

    :param on_crash: called after a crash, for example to take the engine off the network.
    """

    name: str
    behaviour: EngineBehaviour = field(default_factory=EngineBehaviour)
    history: list[Received] = field(default_factory=list)
    running: dict[str, EngineRunRecord] = field(default_factory=dict)
    waiting: list[EngineRunRecord] = field(default_factory=list)
    runs: list[EngineRunRecord] = field(default_factory=list)
    orders: OrderReceiver = field(default_factory=OrderReceiver)
    crashes: int = 0
    on_crash: Callable[[], None] | None = None
    _reports: deque[dict[str, Any]] = field(default_factory=deque)
    _cache: BlockCache = field(default_factory=lambda: BlockCache(0))
    _cache_times: list[float] = field(default_factory=list)
    _prefill: trio.Lock = field(default_factory=trio.Lock)

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one ASGI connection."""
        if scope['type'] != 'http':
            return
        body = await read_body(receive, BODY_LIMIT_BYTES)
        headers = tuple(
            (str(key, 'latin-1'), str(text, 'latin-1')) for key, text in scope['headers']
        )
        self.history.append(
            Received(
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
                await self._take_order(str(scope['client'][0]), body, send)
            case '/cache-events' if self.behaviour.cache_blocks:
                since = int(scope['query_string'].partition(b'=')[2])
                await send_json(send, 200, self._cache_page(since))
            case _:
                await send_json(send, 404, {'not_run': True})

    def crash(self) -> None:
        """Break all streams and lose all that runs and waits."""
        self.crashes += 1
        self._break_all()
        if self.on_crash is not None:
            self.on_crash()

    async def _take_order(self, source: str, body: bytes, send: Send) -> None:
        changing = self.orders.is_changing()
        try:
            status = self.orders.receive(source, msgspec.json.decode(body))
        finally:
            if self.orders.is_changing() and not changing:
                self._break_all()
        await send_json(send, status, {})

    def _break_all(self) -> None:
        lost = [*self.running.values(), *self.waiting]
        self.running.clear()
        self.waiting.clear()
        self._cache = BlockCache(0)
        self._cache_times.clear()
        for record in lost:
            record.cancelled = True
            record.scope.cancel()

    def _cancel(self, attempt_id: str) -> bool:
        found = [each for each in self.runs if each.attempt_id == attempt_id and not each.finished]
        for record in found:
            record.cancelled = True
            record.scope.cancel()
        return bool(found)

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
        self._reports.append(report)
        while len(self._reports) > 1 and self._reports[1]['as_of'] <= now - self.behaviour.lag_s:
            self._reports.popleft()
        return self._reports[0] if self.behaviour.lag_s else report

    def _use_cache(self, record: EngineRunRecord) -> None:
        """Find the prompt in the cache and store what is missing."""
        if not self.behaviour.cache_blocks:
            return
        cache = self._cache
        cache.capacity = self.behaviour.cache_blocks
        blocks = hash_prompt(record.payload)
        record.cached_tokens = cache.cached_prefix(blocks) * BLOCK_TOKENS
        if cache.pin(blocks):
            cache.unpin(blocks)
        now = trio.current_time()
        self._cache_times.extend(now for _ in cache.changes[len(self._cache_times) :])

    def _cache_page(self, since: int) -> dict[str, Any]:
        until_s = trio.current_time() - self.behaviour.lag_s
        last = bisect_right(self._cache_times, until_s)
        gap = self.behaviour.event_gap
        events = [
            {'sequence': each.sequence, 'block': each.block, 'stored': each.stored}
            for each in self._cache.changes[since : min(last, since + EVENT_PAGE)]
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
                await self._admit(record)
                await self._generate(record, send, poisoned=poisoned)
        finally:
            self._leave(record)
        if not record.finished:
            raise ConnectionResetError(f'stream of engine {self.name} ended early')

    async def _admit(self, record: EngineRunRecord) -> None:
        self.waiting.append(record)
        self._fill_batch()
        await record.admitted.wait()

    def _fill_batch(self) -> None:
        self.waiting.sort(key=lambda each: -int(each.payload.get('priority', 0)))
        while self.waiting and len(self.running) < self.behaviour.batch_limit:
            record = self.waiting.pop(0)
            self.running[record.attempt_id] = record
            record.admitted.set()

    def _leave(self, record: EngineRunRecord) -> None:
        if self.running.get(record.attempt_id) is record:
            self.running.pop(record.attempt_id)
        if record in self.waiting:
            self.waiting.remove(record)
        self._fill_batch()

    async def _generate(self, record: EngineRunRecord, send: Send, *, poisoned: bool) -> None:
        behaviour = self.behaviour
        payload = record.payload
        if math.isfinite(behaviour.prefill_tokens_per_s):
            async with self._prefill:
                self._use_cache(record)
                left = _prompt_tokens(record) - record.cached_tokens
                await trio.sleep(left / behaviour.prefill_tokens_per_s)
        else:
            self._use_cache(record)
        named = 'another' if record.fault == EngineFault.OTHER_ATTEMPT else record.attempt_id
        headers = ((b'shallotmux-attempt-id', named.encode()),)
        await send_start(send, 200, EVENT_STREAM_TYPE, headers)
        last = payload.get('max_tokens', 256)
        key = prompt_key(payload)
        if record.fault == EngineFault.OTHER_ATTEMPT:
            key = bytes(reversed(key))  # Sampling gives other tokens in each attempt.
        end_marker = b'data: [DONE]\n\n'
        for position in range(payload['offset'], last):
            if poisoned and record.tokens >= behaviour.poison_after:
                self.crash()
            await self._step(record, position)
            if record.tokens == FAULT_POSITION and record.fault in SHORTENING:
                end_marker = end_marker if record.fault == EngineFault.TRUNCATE else b''
                break
            finish = 'length' if position + 1 == last else None
            event = self._event(record, key, position, finish)
            await send_chunk(send, event)
            record.tokens += 1
        record.finished = True
        await send_chunk(send, end_marker, more=False)

    async def _step(self, record: EngineRunRecord, position: int) -> None:
        """Spend the time of one decode step, and suffer faults that end or delay the stream."""
        limit = self.behaviour.crash_after
        if limit is not None and position >= limit:
            raise ConnectionResetError(f'engine {self.name} crashed')
        if record.tokens == FAULT_POSITION:
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
        struck = record.tokens >= FAULT_POSITION
        skipped = struck and record.fault == EngineFault.SKIP
        foreign = struck and record.fault == EngineFault.CROSS
        event = encode_event(
            FOREIGN_ID if foreign else payload['response_id'],
            payload['model'],
            position + 2 if skipped else position + 1,
            token_text(key, position),
            chat=payload['chat'],
            finish=finish,
        )
        return event * 2 if record.fault == EngineFault.DUPLICATE else event


def _prompt_tokens(record: EngineRunRecord) -> int:
    prompt = record.payload.get('messages', record.payload.get('prompt', ''))
    return len(msgspec.json.encode(prompt)) // BYTES_PER_TOKEN

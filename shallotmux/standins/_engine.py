"""Stand-in for an engine of the platform."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import msgspec
import trio

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
from shallotmux.standins._tokens import encode_event, prompt_key, token_text

BODY_LIMIT_BYTES = 16_777_216


@dataclass(slots=True)
class EngineBehaviour:
    """How the stand-in behaves.

    :param token_s: seconds between tokens.
    :param refuse: answer every run with a truthful refusal.
    :param crash_after: tokens after which each stream breaks, or None.
    """

    token_s: float = 0.005
    refuse: bool = False
    crash_after: int | None = None


@dataclass(frozen=True, slots=True)
class Received:
    """A request that the stand-in received, as evidence for checks."""

    time_s: float
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(slots=True)
class EngineStandin:
    """ASGI application that speaks the engine protocol."""

    name: str
    behaviour: EngineBehaviour = field(default_factory=EngineBehaviour)
    history: list[Received] = field(default_factory=list)
    running: dict[str, trio.CancelScope] = field(default_factory=dict)

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one ASGI connection."""
        if scope['type'] != 'http':
            return
        body = await read_body(receive, BODY_LIMIT_BYTES)
        headers = tuple(
            (str(key, 'latin-1'), str(text, 'latin-1')) for key, text in scope['headers']
        )
        self.history.append(
            Received(trio.current_time(), scope['method'], scope['path'], headers, body)
        )
        match scope['path']:
            case '/run':
                await self._run(msgspec.json.decode(body), send)
            case '/cancel':
                scope_to_cancel = self.running.get(msgspec.json.decode(body)['attempt_id'])
                if scope_to_cancel is not None:
                    scope_to_cancel.cancel()
                await send_json(send, 200, {'cancelled': scope_to_cancel is not None})
            case '/load':
                await send_json(send, 200, self._load())
            case _:
                await send_json(send, 404, {'not_run': True})

    def _load(self) -> dict[str, Any]:
        return {
            'role': 'mixed',
            'model': '',
            'queued_prefill_tokens': 0,
            'running': len(self.running),
            'free_cache_blocks': 64,
            'prefill_tokens_per_s': 20_000.0,
            'step_s': self.behaviour.token_s,
            'as_of': trio.current_time(),
        }

    async def _run(self, payload: dict[str, Any], send: Send) -> None:
        if self.behaviour.refuse:
            await send_json(send, 409, {'not_run': True})
            return
        with trio.CancelScope() as cancel:
            self.running[payload['attempt_id']] = cancel
            try:
                await self._generate(payload, send)
            finally:
                self.running.pop(payload['attempt_id'], None)

    async def _generate(self, payload: dict[str, Any], send: Send) -> None:
        await send_start(send, 200, EVENT_STREAM_TYPE)
        key = prompt_key(payload)
        for position in range(payload['offset'], payload.get('max_tokens', 256)):
            if self.behaviour.crash_after is not None and position >= self.behaviour.crash_after:
                raise ConnectionResetError(f'engine {self.name} crashed')
            await trio.sleep(self.behaviour.token_s)
            event = encode_event(
                payload['response_id'],
                payload['model'],
                position + 1,
                token_text(key, position),
                chat=payload['chat'],
            )
            await send_chunk(send, event)
        await send_chunk(send, b'data: [DONE]\n\n', more=False)

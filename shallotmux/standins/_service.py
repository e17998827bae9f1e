"""Stand-in for a plain service, which counts how often each job runs."""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass, field
from enum import StrEnum

import msgspec
import trio

from shallotmux.http import JSON_TYPE, Receive, Scope, Send, read_body, send_answer, send_json
from shallotmux.standins._engine import BODY_LIMIT_BYTES, Received

#: Header that identifies a call.
CALL_HEADER = 'shallotmux-call-id'


class ServiceFault(StrEnum):
    """A fault that the next call suffers once."""

    REFUSE = 'refuse'
    CRASH_BEFORE = 'crash_before'
    CRASH_AFTER = 'crash_after'
    DELAY = 'delay'
    CROSS = 'cross'


@dataclass(slots=True)
class ServiceBehaviour:
    """How the stand-in behaves.

    :param run_s: seconds that a job takes.
    :param delay_s: further seconds before the answer of a call with the fault ``delay``.
    :param answer_bytes: size to which answers are padded.
    :param faults: faults of the next calls, one each; None stands for no fault.
    """

    run_s: float = 0.01
    delay_s: float = 100.0
    answer_bytes: int = 0
    faults: deque[ServiceFault | None] = field(default_factory=deque)


@dataclass(slots=True)
class ServiceStandin:
    """ASGI application that runs jobs; the body of a call is the name of its job.

    :param executions: how often each job ran, shared by all workers of the service.
    """

    name: str
    executions: Counter[str] = field(default_factory=Counter)
    behaviour: ServiceBehaviour = field(default_factory=ServiceBehaviour)
    history: list[Received] = field(default_factory=list)

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one ASGI connection."""
        if scope['type'] != 'http':
            return
        body = await read_body(receive, BODY_LIMIT_BYTES)
        headers = {str(key, 'latin-1'): str(text, 'latin-1') for key, text in scope['headers']}
        query = scope.get('query_string', b'')
        self.history.append(
            Received(
                trio.current_time(),
                scope['method'],
                scope['path'],
                tuple(headers.items()),
                body,
                query,
            ),
        )
        await self._run(body, headers, send)

    async def _run(self, body: bytes, headers: dict[str, str], send: Send) -> None:
        faults = self.behaviour.faults
        fault = faults.popleft() if faults else None
        if fault == ServiceFault.REFUSE:
            await send_json(send, 409, {'not_run': True})
            return
        if fault == ServiceFault.CRASH_BEFORE:
            raise ConnectionResetError(f'service {self.name} crashed before the job')
        job = body.decode()
        await trio.sleep(self.behaviour.run_s)
        self.executions[job] += 1
        number = self.executions[job]
        if fault == ServiceFault.CRASH_AFTER:
            raise ConnectionResetError(f'service {self.name} crashed after the job')
        if fault == ServiceFault.DELAY:
            await trio.sleep(self.behaviour.delay_s)
        call_id = 'another' if fault == ServiceFault.CROSS else headers.get(CALL_HEADER, '')
        answer = msgspec.json.encode({'job': job, 'run': number})
        await send_answer(
            send,
            200,
            answer.ljust(self.behaviour.answer_bytes),
            JSON_TYPE,
            ((CALL_HEADER.encode(), call_id.encode()),),
        )

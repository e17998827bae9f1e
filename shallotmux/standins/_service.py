"""Stand-in for a plain service that counts how often each job runs."""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass, field
from enum import StrEnum

import msgspec
import trio

from shallotmux.http import JSON_TYPE, Receive, Scope, Send, read_body, send_json, send_response
from shallotmux.standins._engine import MAX_BODY_BYTES, RecordedRequest

#: Header with the id of a call, which the response must return.
CALL_HEADER = 'shallotmux-call-id'


class ServiceFault(StrEnum):
    """Fault injected into a single call.

    ``refuse`` answers that the job did not run. ``crash_before`` and ``crash_after`` close the
    connection before and after the run. ``delay`` answers late, and ``cross`` answers with the id
    of another call.
    """

    REFUSE = 'refuse'
    CRASH_BEFORE = 'crash_before'
    CRASH_AFTER = 'crash_after'
    DELAY = 'delay'
    CROSS = 'cross'


@dataclass(slots=True)
class ServiceBehaviour:
    """Behaviour of the stand-in.

    :param run_s: duration of a job in seconds.
    :param delay_s: additional seconds before the answer to a call with the fault ``delay``.
    :param answer_bytes: minimum size of answers, reached by padding.
    :param faults: faults of the next calls, one for each call; None means no fault.
    """

    run_s: float = 0.01
    delay_s: float = 100.0
    answer_bytes: int = 0
    faults: deque[ServiceFault | None] = field(default_factory=deque)


@dataclass(slots=True)
class ServiceStandin:
    """ASGI application that runs jobs; the body of a call is the name of its job.

    :param executions: number of runs by job; stand-ins of one service may share the counter.
    """

    name: str
    executions: Counter[str] = field(default_factory=Counter)
    behaviour: ServiceBehaviour = field(default_factory=ServiceBehaviour)
    history: list[RecordedRequest] = field(default_factory=list)

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one ASGI connection."""
        if scope['type'] != 'http':
            return
        body = await read_body(receive, MAX_BODY_BYTES)
        headers = {str(key, 'latin-1'): str(text, 'latin-1') for key, text in scope['headers']}
        query = scope.get('query_string', b'')
        self.history.append(
            RecordedRequest(
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
        run_number = self.executions[job]
        if fault == ServiceFault.CRASH_AFTER:
            raise ConnectionResetError(f'service {self.name} crashed after the job')
        if fault == ServiceFault.DELAY:
            await trio.sleep(self.behaviour.delay_s)
        call_id = 'another' if fault == ServiceFault.CROSS else headers.get(CALL_HEADER, '')
        answer = msgspec.json.encode({'job': job, 'run': run_number})
        await send_response(
            send,
            200,
            answer.ljust(self.behaviour.answer_bytes),
            JSON_TYPE,
            ((CALL_HEADER.encode(), call_id.encode()),),
        )

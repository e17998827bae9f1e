"""Have an engine read a prompt for another one that generates."""

from __future__ import annotations

from dataclasses import dataclass

import trio
from eliot import log_message

from shallotmux.errors import EndpointError
from shallotmux.forwarding._admission import Dialect
from shallotmux.forwarding._budget import SharedRetryBudget
from shallotmux.forwarding._directory import EndpointDirectory
from shallotmux.forwarding._endpoint import (
    CONNECT_TIMEOUT_S,
    ConnectionUnusable,
    EndpointConnection,
)
from shallotmux.forwarding._headers import Headers
from shallotmux.forwarding._job import Job
from shallotmux.forwarding._outcome import Outcome, judge_head
from shallotmux.forwarding._pool import ConnectionPool
from shallotmux.forwarding._state import EndpointState, OpenWork

#: Time that an engine gets for a prompt, relative to what is expected, and beyond that.
PREFILL_PATIENCE = 2.5
PREFILL_SLACK_MS = 1500.0

#: Status of an accepted prefill.
ACCEPTED = 200


@dataclass(frozen=True, slots=True)
class PrefillCall:
    """Where a prompt is read.

    :param extra: headers that the call carries.
    :param unread_tokens: tokens that the engine has to read.
    :param expected_ms: expected time until it has.
    """

    state: EndpointState
    extra: Headers
    unread_tokens: float
    expected_ms: float


class PromptReader:
    """Sends prompts to engines that only read them.

    :param budget: is charged with calls that failed, which count as repeats.
    """

    def __init__(
        self,
        dialect: Dialect,
        pool: ConnectionPool,
        directory: EndpointDirectory,
        budget: SharedRetryBudget,
    ) -> None:
        self._dialect = dialect
        self._pool = pool
        self._directory = directory
        self._budget = budget

    async def read(self, job: Job, call: PrefillCall) -> str | None:
        """Let an engine read the prompt of a job.

        :returns: the handle of what it read, None if it did not in time.
        """
        state = call.state
        patience_s = (PREFILL_PATIENCE * call.expected_ms + PREFILL_SLACK_MS) / 1000
        sent_at = trio.current_time()
        with trio.move_on_after(patience_s):
            return await self._exchange(job, call)
        self._budget.charge(job.service)
        if state.answered_at < sent_at:
            # An engine that answers others is only busy; leaving it would crowd the rest.
            self._directory.note_silence(state, 'prompt not read in time')
        return None

    async def _exchange(self, job: Job, call: PrefillCall) -> str | None:
        state = call.state
        extra = (*self._dialect.prefill_headers, *call.extra)
        outgoing = job.outgoing(self._dialect.names, state.identity, extra)
        connection: EndpointConnection | None = None
        try:
            with OpenWork(state, call.unread_tokens) as work:
                connection = await self._pool.take(
                    state.identity, state.listed.address, float('inf'), CONNECT_TIMEOUT_S
                )
                await connection.send_request(outgoing)
                return await self._read_answer(job, state, connection, work)
        except ConnectionUnusable as error:
            self._directory.note_silence(state, str(error))
        except EndpointError as error:
            self._directory.note_break(state, job.fingerprint())
            self._budget.charge(job.service)
            self._directory.note_failure(state, str(error))
        finally:
            if connection is not None:
                self._pool.put(state.identity, connection)
        return None

    async def _read_answer(
        self, job: Job, state: EndpointState, connection: EndpointConnection, work: OpenWork
    ) -> str | None:
        head = await connection.receive_head()
        work.note_answered()
        content = await connection.receive_body()
        state.note_load(head.header(self._dialect.names.load), trio.current_time())
        is_done = judge_head(head, self._dialect.names) is Outcome.DONE
        if not is_done or head.status != ACCEPTED or job.prompt is None:
            state.note_refusal(trio.current_time())
            self._budget.charge(job.service)
            log_message(
                message_type='shallotmux:prefill-refused',
                request=job.request_id.decode('latin-1'),
                endpoint=state.identity,
                status=head.status,
            )
            return None
        state.note_prompt(job.prompt)
        state.note_success()
        return self._dialect.read_handle(content)

"""Forward the requests that other instances relay here, since they reach no endpoint themselves."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from eliot import log_message

from shallotmux.forwarding._admission import Admitted
from shallotmux.forwarding._forwarder import Forwarder
from shallotmux.forwarding._headers import Headers, drop_named
from shallotmux.forwarding._job import Job
from shallotmux.forwarding._messages import CallerRequest, Reply, send_response
from shallotmux.forwarding._outcome import NOT_RUN_STATUSES
from shallotmux.forwarding._refusals import NOT_RUN_STATUS, Refusal
from shallotmux.relaying import (
    RELAY_HEADER,
    RelayedAnswer,
    RelayedRequest,
    RelayResult,
    decode_relayed_request,
    encode_relay_header,
)

#: Relayed requests that an instance works on at once; further ones are declined. They share the
#: instance with the requests of its own callers.
MAX_RELAYED = 64


@dataclass(slots=True)
class RelayedReply:
    """Sends the answer to a relayed request, with what the other instance must know.

    :param in_progress: returns the relayed requests in progress.
    """

    reply: Reply
    in_progress: Callable[[], int]
    job: Job | None = None

    @property
    def is_started(self) -> bool:
        """Return whether the head was sent."""
        return self.reply.is_started

    async def send_head(self, status: int, headers: Headers) -> None:
        """Send the head of an endpoint's answer."""
        job = self.job
        answer = RelayedAnswer(RelayResult.ANSWERED)
        if job is not None:
            answer = RelayedAnswer(
                RelayResult.ANSWERED,
                # The present attempt is counted once it has ended.
                job.runs + 1,
                job.sends,
                job.attempt_version,
                job.attempt_start,
                self.in_progress(),
            )
        await self._send_head(status, headers, answer)

    async def send_part(self, content: bytes) -> None:
        """Send a part of the body."""
        await self.reply.send_part(content)

    async def finish(self) -> None:
        """End the body as complete."""
        await self.reply.finish()

    def abort(self) -> None:
        """Close the connection, so that the other instance sees the answer as incomplete."""
        self.reply.abort()

    async def refuse(self, request_id: Headers, status: int, answer: RelayedAnswer) -> None:
        """Send an answer that is not an endpoint's.

        :param request_id: header by which the other instance matches answers.
        """
        header = (RELAY_HEADER, encode_relay_header(answer))
        await send_response(self.reply, status, b'', (*request_id, header))

    async def _send_head(self, status: int, headers: Headers, answer: RelayedAnswer) -> None:
        kept = drop_named(headers, frozenset((RELAY_HEADER,)))
        await self.reply.send_head(status, (*kept, (RELAY_HEADER, encode_relay_header(answer))))


class RelayedRequests:
    """Handles the requests on the listener for peers.

    :param is_draining: returns whether this instance is about to stop.
    """

    def __init__(self, forwarder: Forwarder, is_draining: Callable[[], bool]) -> None:
        self._forwarder = forwarder
        self._is_draining = is_draining
        self.in_progress = 0

    async def handle(self, request: CallerRequest, reply: Reply) -> None:
        """Answer one relayed request."""
        relayed = RelayedReply(reply, lambda: self.in_progress)
        message = decode_relayed_request(request.header(RELAY_HEADER))
        admitted = self._admit(request, relayed, message)
        if isinstance(admitted, str) or message is None:
            self._log_declined(request, message, str(admitted))
            declined = self._forwarder.metrics.relayed.labels('taken', RelayResult.DECLINED.value)
            declined.inc()
            answer = RelayedAnswer(
                RelayResult.DECLINED,
                message.runs if message else 0,
                message.sends if message else 0,
                reason=str(admitted),
            )
            await relayed.refuse(self._id_header(request), NOT_RUN_STATUS, answer)
            return
        self.in_progress += 1
        try:
            await self._run(admitted, relayed, message)
        finally:
            self.in_progress -= 1

    def _admit(
        self, request: CallerRequest, reply: Reply, message: RelayedRequest | None
    ) -> Job | str:
        """Return the job for a relayed request, or why it is not taken."""
        if message is None:
            return 'no valid relay header'
        if self._is_draining():
            return 'the instance is stopping'
        if self.in_progress >= MAX_RELAYED:
            return 'too many relayed requests'
        if message.version > self._forwarder.view.version:
            return 'the configuration is older here'
        admitted = self._forwarder.admit(request, reply)
        match admitted:
            case Refusal():
                return f'not admitted here: {admitted.short_reason}'
            case Admitted(job=job):
                return self._take_over(job, message)

    def _take_over(self, job: Job, message: RelayedRequest) -> Job | str:
        """Continue the job of the other instance; returns why that is not possible otherwise."""
        services = {share.service for share in job.route.shares}
        if message.service in services:
            job.service = message.service
        elif message.software is not None:
            return 'the route does not lead to the service of the stream'
        job.stream_version = message.software
        job.runs = message.runs
        job.sends = message.sends
        job.has_run_started = message.is_counted
        job.relayed_for = message.sender
        if message.charged_s is not None:
            job.charged_s = message.charged_s
        usable = self._forwarder.directory.usable_for(job)
        if not any(each.may_answer for each in usable):
            return 'no endpoint is reached here either'
        return job

    async def _run(self, job: Job, reply: RelayedReply, message: RelayedRequest) -> None:
        reply.job = job
        refusal = await self._forwarder.run_relayed(job)
        relayed = self._forwarder.metrics.relayed
        if refusal is None:
            relayed.labels('taken', RelayResult.ANSWERED.value).inc()
            return
        relayed.labels('taken', self._classify(job, refusal, message).value).inc()
        if reply.is_started:
            reply.abort()
            return
        answer = RelayedAnswer(
            self._classify(job, refusal, message),
            job.runs,
            job.sends,
            load=self.in_progress,
            reason=refusal.short_reason,
            retry_after_s=refusal.retry_after_s,
            has_used_charge=job.has_used_charge,
        )
        await reply.refuse(self._id_header(job.request), refusal.status, answer)

    def _classify(self, job: Job, refusal: Refusal, message: RelayedRequest) -> RelayResult:
        """Return what a refusal means to the other instance."""
        if refusal.status not in NOT_RUN_STATUSES or job.runs > message.runs:
            return RelayResult.UNKNOWN
        if self._forwarder.directory.is_out_of_reach(job):
            return RelayResult.DECLINED
        return RelayResult.REFUSED

    def _id_header(self, request: CallerRequest) -> Headers:
        name = self._forwarder.dialect.names.request_id
        return ((name, request.header(name) or b''),)

    def _log_declined(
        self, request: CallerRequest, message: RelayedRequest | None, reason: str
    ) -> None:
        log_message(
            message_type='shallotmux:relay-declined',
            request=request.text(self._forwarder.dialect.names.request_id),
            relayed_for=message.sender if message else None,
            reason=reason,
            in_progress=self.in_progress,
        )

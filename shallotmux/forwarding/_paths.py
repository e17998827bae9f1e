"""The two ways of an attempt: to an endpoint itself, or through a peer that reaches endpoints."""

from __future__ import annotations

from dataclasses import dataclass, replace
from math import isinf
from typing import Protocol

import trio

from shallotmux.forwarding._directory import EndpointDirectory
from shallotmux.forwarding._endpoint import EndpointConnection
from shallotmux.forwarding._headers import Headers, drop_named
from shallotmux.forwarding._job import Job
from shallotmux.forwarding._messages import AnswerHead, OutgoingRequest
from shallotmux.forwarding._names import HeaderNames
from shallotmux.forwarding._outcome import Outcome, classify_answer
from shallotmux.forwarding._pool import ConnectionPool
from shallotmux.forwarding._starts import StartVerifier
from shallotmux.forwarding._state import InFlightWork, Target
from shallotmux.notices import says_leaving
from shallotmux.quotas import Charge
from shallotmux.relaying import (
    RELAY_HEADER,
    Peer,
    RelayedAnswer,
    RelayedRequest,
    RelayPeers,
    RelayResult,
    decode_relayed_answer,
    encode_relay_header,
)


@dataclass(frozen=True, slots=True)
class Verdict:
    """What the head of an answer shows.

    :param head: the head as the caller gets it.
    :param retry_after_s: time that a peer names in a refusal that is final; None otherwise.
    :param has_used_charge: whether a part of the request ran at a peer that refused it.
    """

    outcome: Outcome
    head: AnswerHead
    reason: str = ''
    is_failure: bool = False
    retry_after_s: float | None = None
    has_used_charge: bool = False


class AttemptPath(Protocol):
    """What differs between an attempt at an endpoint and one through a peer."""

    @property
    def pool(self) -> ConnectionPool:
        """Return the pool of the connections."""

    def take_permit(self, target: Target) -> bool:
        """Return whether a request may be sent now, and count it."""

    async def verify(self, job: Job, target: Target, connection: EndpointConnection) -> None:
        """Check the other end of a connection, where that matters."""

    def begin(self, job: Job, target: Target, charge: Charge | None) -> OutgoingRequest:
        """Count a request as sent, and return it as it is sent.

        :param charge: what was charged for this attempt.
        """

    def judge(self, job: Job, target: Target, work: InFlightWork, head: AnswerHead) -> Verdict:
        """Record the head of an answer, and return what it shows."""

    def record_unreachable(self, target: Target, reason: str) -> None:
        """Record that no connection could be used."""

    def record_broken(self, job: Job, target: Target, work: InFlightWork) -> None:
        """Record that a connection broke after the request was sent."""

    def record_failure(self, target: Target, reason: str) -> None:
        """Record an answer that is a failure."""

    def record_refusal(self, target: Target, status: int, sent_at: float) -> None:
        """Record an answer that proves that the request did not run."""

    def record_uncertain_end(self, job: Job, target: Target) -> None:
        """Record that only the end of the connection marked the end of a stream."""


class DirectPath:
    """Attempts at endpoints."""

    def __init__(
        self,
        names: HeaderNames,
        pool: ConnectionPool,
        directory: EndpointDirectory,
        starts: StartVerifier,
    ) -> None:
        self.pool = pool
        self._names = names
        self._directory = directory
        self._starts = starts

    def take_permit(self, target: Target) -> bool:
        """Count the request under the limit of the endpoint."""
        return self._directory.take_permit(target.state)

    async def verify(self, job: Job, target: Target, connection: EndpointConnection) -> None:
        """Check that the connection leads to the start that is listed."""
        await self._starts.verify(job, target.state, connection)

    def begin(self, job: Job, target: Target, charge: Charge | None) -> OutgoingRequest:
        """Count the request, and return it with the headers for the endpoint."""
        outgoing = job.build_outgoing(self._names, target.state.identity, target.extra)
        job.sends += 1
        job.record_attempt(target.state.listed)
        job.cache_source_uses += bool(job.cache_source)
        return outgoing

    def judge(self, job: Job, target: Target, work: InFlightWork, head: AnswerHead) -> Verdict:
        """Record load, limit and liveness of the endpoint."""
        self._directory.record_head(target.state, work.sent_at, head, self._names)
        outcome = classify_answer(head, self._names)
        return Verdict(outcome, head, f'status {head.status}', outcome is Outcome.UNKNOWN)

    def record_unreachable(self, target: Target, reason: str) -> None:
        """Avoid the endpoint."""
        self._directory.record_unreachable(target.state, reason)

    def record_broken(self, job: Job, target: Target, work: InFlightWork) -> None:
        """Suspect that the endpoint crashed."""
        self._directory.record_suspected_crash(target.state, job, work.sent_at)

    def record_failure(self, target: Target, reason: str) -> None:
        """Count a failure of the endpoint."""
        self._directory.record_failure(target.state, reason)

    def record_refusal(self, target: Target, status: int, sent_at: float) -> None:
        """Back off from the endpoint."""
        self._directory.record_refusal(target.state, status, sent_at)

    def record_uncertain_end(self, job: Job, target: Target) -> None:
        """Record that the endpoint may have crashed."""
        self._directory.record_uncertain_end(target.state, job)


#: Connections to peers, relative to those to endpoints that the descriptors allow.
PEER_CONNECTIONS_FRACTION = 0.25


class PeerPath:
    """Attempts through a peer. What they show of endpoints is the peer's to record."""

    def __init__(
        self,
        names: HeaderNames,
        peers: RelayPeers,
        directory: EndpointDirectory,
        endpoints: ConnectionPool,
    ) -> None:
        self._directory = directory
        # Peers take connections only from the addresses that they know.
        self.pool = ConnectionPool(
            names.request_id,
            source=peers.own_host,
            budget=endpoints.budget,
            max_total=PEER_CONNECTIONS_FRACTION * endpoints.max_total,
        )
        self._names = names
        self._peers = peers

    def take_permit(self, target: Target) -> bool:
        """Return true; the peer takes permits."""
        return True

    async def verify(self, job: Job, target: Target, connection: EndpointConnection) -> None:
        """Check nothing; the peer verifies the starts of endpoints."""

    def begin(self, job: Job, target: Target, charge: Charge | None) -> OutgoingRequest:
        """Return the request as the caller sent it, with the state of the job."""
        request = RelayedRequest(
            self._peers.own,
            job.document_version,
            job.service,
            job.stream_version,
            job.runs,
            job.sends,
            job.has_run_started,
            None if charge is None or isinf(charge.send_by) else _time_left(charge),
        )
        job.sends += 1
        headers: Headers = (
            *job.build_relayed_headers(self._names),
            (RELAY_HEADER, encode_relay_header(request)),
        )
        caller = job.request
        return OutgoingRequest(job.request_id, caller.method, caller.target, headers, caller.body)

    def judge(self, job: Job, target: Target, work: InFlightWork, head: AnswerHead) -> Verdict:
        """Take over the state of the job from the peer.

        :raises EndpointError: if the peer does not tell it.
        """
        peer = _peer_of(target)
        answer = decode_relayed_answer(head.header(RELAY_HEADER), peer.name)
        # The peer counts the times that the request was sent to endpoints; being asked is none.
        job.sends = answer.sends
        rest = replace(head, headers=drop_named(head.headers, frozenset((RELAY_HEADER,))))
        reason = f'{answer.reason} (at {peer.name})' if answer.reason else ''
        match answer.result:
            case RelayResult.DECLINED:
                self._peers.record_declined(peer, job.service)
                return Verdict(
                    Outcome.NOT_RUN, rest, reason, has_used_charge=answer.has_used_charge
                )
            case RelayResult.REFUSED:
                self._peers.record_served(peer, job.service, answer.load)
                return Verdict(
                    Outcome.NOT_RUN,
                    rest,
                    reason,
                    retry_after_s=answer.retry_after_s,
                    has_used_charge=answer.has_used_charge,
                )
        self._peers.record_served(peer, job.service, answer.load)
        # The run of this attempt is counted by the caller of the attempt.
        job.runs = max(job.runs, answer.runs - 1)
        if answer.result is RelayResult.UNKNOWN:
            return Verdict(Outcome.UNKNOWN, rest, reason)
        self._take_over_run(job, answer)
        self._directory.record_relayed(job.service)
        if says_leaving(head.header(self._names.leaving)):
            self._directory.notices.record_leaving(answer.start)
        return Verdict(Outcome.DONE, rest, reason)

    def record_unreachable(self, target: Target, reason: str) -> None:
        """Avoid the peer."""
        self._peers.record_unreachable(_peer_of(target))

    def record_broken(self, job: Job, target: Target, work: InFlightWork) -> None:
        """Avoid the peer."""
        self._peers.record_unreachable(_peer_of(target))

    def record_failure(self, target: Target, reason: str) -> None:
        """Record nothing; the peer records failures of endpoints."""

    def record_refusal(self, target: Target, status: int, sent_at: float) -> None:
        """Record nothing; the peer records refusals of endpoints."""

    def record_uncertain_end(self, job: Job, target: Target) -> None:
        """Record nothing; the peer records the ends of streams."""

    def _take_over_run(self, job: Job, answer: RelayedAnswer) -> None:
        """Record what the peer has recorded for the run, so that it is not recorded twice."""
        job.has_run_started = True
        job.attempt_version = answer.software


def _peer_of(target: Target) -> Peer:
    """Return the peer of a target that has one.

    :raises ValueError: if it has none.
    """
    if target.peer is None:
        raise ValueError(f'{target.state.identity} is no peer')
    return target.peer


def _time_left(charge: Charge) -> float:
    return max(0.0, charge.send_by - trio.current_time())

"""State of one admitted request."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import inf

import trio

from shallotmux.crashes import digest_subject
from shallotmux.fleet import ListedEndpoint
from shallotmux.forwarding._events import EventSplitter
from shallotmux.forwarding._headers import Headers, drop_connection_headers, drop_named
from shallotmux.forwarding._messages import AnswerHead, CallerRequest, OutgoingRequest, Reply
from shallotmux.forwarding._names import HeaderNames
from shallotmux.origins import make_origin_key
from shallotmux.placement import Prompt
from shallotmux.quotas import Charge
from shallotmux.relaying import RELAY_HEADER
from shallotmux.routes import ForwardedRoute, RouteKind

#: Least urgent priority that engines accept; 0 is the most urgent.
LOWEST_PRIORITY = 9

#: Longest idle time of a connection that is reused for a request that must not run twice. The longer
#: a connection was idle, the likelier the peer has closed it without notice.
NON_REPEATABLE_MAX_IDLE_S = 1.0

#: Parts of a prompt that are recorded when an endpoint crashes.
MAX_BLAMED_PARTS = 256


@dataclass(frozen=True, slots=True)
class WithheldAnswer:
    """An error answer that the caller gets if no other endpoint answers."""

    head: AnswerHead
    content: bytes


@dataclass(frozen=True, slots=True)
class SilentAttempt:
    """An attempt that was given up before its answer began.

    :param endpoint: identity of the endpoint.
    """

    endpoint: str
    started_at: float
    waited_s: float


@dataclass(slots=True)
class Job:
    """A request that was admitted.

    :param deadline: local time at which the timeout of the caller or the route expires.
    :param customer: customer whose key was sent; empty on open routes.
    :param runs: number of endpoints that may have run it.
    :param sends: number of times it was sent to an endpoint.
    :param excluded: identities of endpoints that are not tried again.
    :param document_version: version of the route document by which it was admitted.
    :param relayed_for: instance that took the request, if a peer relays it here.
    :param unreached: number of endpoints that accepted no connection for it.
    :param peers_tried: names of peers that were asked to relay it.
    """

    request: CallerRequest
    reply: Reply
    route: ForwardedRoute
    service: str
    request_id: bytes
    deadline: float
    customer: str = ''
    priority: int = 0
    prompt: Prompt | None = None
    runs: int = 0
    sends: int = 0
    has_run_started: bool = False
    excluded: set[str] = field(default_factory=set)
    document_version: int = 0
    relayed_for: str = ''
    unreached: int = 0
    peers_tried: set[str] = field(default_factory=set)
    #: Tokens or requests that it counts as under the quota of its customer; 0 without a quota.
    quota_amount: float = 0.0
    #: What was charged for it, and no attempt has used.
    charge: Charge | None = None
    #: Whether a part of the job ran, or may have, so that its charge must not be given back.
    has_used_charge: bool = False
    #: Time for which the charge of the instance that took it is valid, if a peer relays it here.
    charged_s: float = inf
    #: Address and handle from which the KV cache of the prompt is fetched; empty without a prefill.
    cache_source: bytes = b''
    #: Number of engines to which the handle was sent.
    cache_source_uses: int = 0
    prefills: int = 0
    #: Local time at which the engines for a separate prefill were chosen, and the time to the first
    #: token that was expected then.
    placed_at: float | None = None
    expected_ms: float = 0.0
    is_prefilled: bool = False
    #: Time from the head of the request to the first part of the answer body; 0 until then.
    first_part_s: float = 0.0
    #: Longest time between two consecutive parts of the answer body.
    longest_gap_s: float = 0.0
    last_part_at: float = 0.0
    #: Bytes of the answer body that have arrived.
    answer_bytes: int = 0
    #: Zone whose endpoints come first; None before it was drawn, empty if no share is known.
    zone: str | None = None
    #: Tracks the events of a resumable stream; None for other answers.
    events: EventSplitter | None = None
    #: Software version at which the stream goes on; None until its first event.
    stream_version: str | None = None
    #: Software version of the endpoint of the present attempt, if it is certain.
    attempt_version: str = ''
    #: Number of the start of the endpoint of the present attempt.
    attempt_start: int = 0
    #: Whether the beginning of the stream was recorded for this request.
    is_origin_recorded: bool = False
    #: Answer that is delivered if there is no better one.
    withheld: WithheldAnswer | None = None
    #: Whether the next retry was charged to the budget already.
    is_retry_reserved: bool = False
    #: Attempts that were given up since their endpoints stayed silent.
    silent_attempts: list[SilentAttempt] = field(default_factory=list)
    _subjects: frozenset[int] = frozenset()

    @property
    def remaining_s(self) -> float:
        """Return the time until the deadline."""
        return self.deadline - trio.current_time()

    @property
    def max_idle_s(self) -> float:
        """Return the longest idle time of a connection that is reused for the request."""
        return float('inf') if self.route.is_repeatable else NON_REPEATABLE_MAX_IDLE_S

    def resumes_stream(self, names: HeaderNames) -> bool:
        """Return whether the caller already has events of the stream."""
        return self.route.kind is RouteKind.STREAMING and bool(
            self.request.header(names.last_event_id)
        )

    def origin_key(self, request_id: bytes) -> int:
        """Return the key under which the beginning of a stream is known.

        :param request_id: id of the request that brought its first event.
        """
        return make_origin_key(request_id, self.request.target, self.customer)

    def after_event(self, names: HeaderNames) -> str:
        """Return the id of the event after which the next endpoint continues; empty for a new stream."""
        if self.events is not None and self.events.last_id:
            return self.events.last_id.decode('latin-1')
        return self.request.text(names.last_event_id)

    def fingerprint(self) -> int:
        """Return a hash of the request that is equal when the caller sends it again."""
        request = self.request
        parts = (request.body, request.method, request.target, self.customer.encode())
        return digest_subject(b'\n'.join(parts))

    def subjects(self) -> frozenset[int]:
        """Return what may be the cause if endpoints crash: the request and its shared parts."""
        if not self._subjects:
            self._subjects = self.shared_parts() | {self.fingerprint()}
        return self._subjects

    def shared_parts(self) -> frozenset[int]:
        """Return the digests of the prompt parts that other requests may share."""
        parts = self.prompt.shared_parts if self.prompt else ()
        return frozenset(part.digest for part in parts[:MAX_BLAMED_PARTS])

    def record_attempt(self, listed: ListedEndpoint) -> None:
        """Record the endpoint whose answer the caller gets, or may get."""
        self.attempt_version = listed.software_version
        self.attempt_start = listed.start_number

    def record_part(self, size: int = 0) -> None:
        """Record the time at which a part of the answer body arrived.

        :param size: number of its bytes.
        """
        self.answer_bytes += size
        now = trio.current_time()
        if self.last_part_at:
            self.longest_gap_s = max(self.longest_gap_s, now - self.last_part_at)
        else:
            self.first_part_s = now - self.request.received_at
        self.last_part_at = now

    def build_outgoing(
        self, names: HeaderNames, endpoint: str, extra: Headers = ()
    ) -> OutgoingRequest:
        """Return the request as it is sent to an endpoint.

        :param endpoint: identity of the endpoint. Another endpoint that now has the same address
            refuses the request.
        :param extra: further headers to set.
        """
        dropped = names.reserved | {b'authorization'}
        own: Headers = ((names.expected_endpoint, endpoint.encode()),)
        if self.customer:
            own = (*own, (names.customer, self.customer.encode()))
        if self.prompt is not None:
            own = (*own, (names.priority, str(min(self.priority, LOWEST_PRIORITY)).encode()))
        request = self.request
        headers = (*self._pass_headers(names, dropped), *own, *extra)
        return OutgoingRequest(
            self.request_id, request.method, request.target, headers, request.body
        )

    def build_relayed_headers(self, names: HeaderNames) -> Headers:
        """Return the headers with which a peer is asked to relay the request.

        They contain the caller's key: the peer admits the request itself.
        """
        return self._pass_headers(names, names.reserved)

    def _pass_headers(self, names: HeaderNames, dropped: frozenset[bytes]) -> Headers:
        """Return the caller's headers with the remaining time, the framing and the last event."""
        replaced = {names.deadline, b'content-length', RELAY_HEADER}
        needed = (b'host', names.request_id)
        passed = drop_connection_headers(self.request.headers, needed)
        kept = drop_named(passed, dropped | replaced)
        own: Headers = ((names.deadline, str(max(1, int(self.remaining_s * 1000))).encode()),)
        if self.events is not None and self.events.last_id:
            kept = drop_named(kept, frozenset((names.last_event_id,)))
            own = (*own, (names.last_event_id, self.events.last_id))
        request = self.request
        if request.body or request.header(b'content-length') or _is_chunked(request):
            own = (*own, (b'content-length', str(len(request.body)).encode()))
        return (*kept, *own)


def _is_chunked(request: CallerRequest) -> bool:
    return request.header(b'transfer-encoding') is not None

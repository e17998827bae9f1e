"""One request on its way: what was admitted, and what happened to it so far."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field

import trio

from shallotmux.forwarding._events import EventSplitter
from shallotmux.forwarding._headers import Headers, drop_connection_headers, drop_named
from shallotmux.forwarding._messages import CallerRequest, OutgoingRequest, Reply
from shallotmux.forwarding._names import HeaderNames
from shallotmux.placement import Prompt
from shallotmux.routes import ForwardedRoute

#: Urgency levels of engines; 0 is the most urgent.
LEAST_URGENT = 9

#: Length of a request's fingerprint; it fits into an integer of a message.
FINGERPRINT_BYTES = 8


@dataclass(slots=True)
class Job:
    """A request that was admitted.

    :param deadline: local time at which the caller or the route gives up.
    :param customer: customer for whom it runs; empty on routes open to all.
    :param runs: endpoints that may have run it.
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
    has_begun: bool = False
    excluded: set[str] = field(default_factory=set)
    #: Engine and handle from which the KV cache of the prompt is fetched; empty if it was not read.
    cache_source: bytes = b''
    cache_source_uses: int = 0
    prefills: int = 0
    #: Time from the head of the request to the first part of the answer; 0 before it.
    first_part_s: float = 0.0
    #: Longest time between two parts of the answer.
    longest_gap_s: float = 0.0
    last_part_at: float = 0.0
    #: Follows the events of a resumable stream; None for other answers.
    events: EventSplitter | None = None

    @property
    def remaining_s(self) -> float:
        """Return the time until the deadline."""
        return self.deadline - trio.current_time()

    def fingerprint(self) -> int:
        """Return a number that is the same when the caller sends the request again."""
        request = self.request
        digest = hashlib.blake2b(request.body, digest_size=FINGERPRINT_BYTES)
        for part in (request.method, request.target, self.customer.encode()):
            digest.update(b'\n')
            digest.update(part)
        return int.from_bytes(digest.digest())

    def note_part(self) -> None:
        """Take note that a part of the answer arrived."""
        now = trio.current_time()
        if self.last_part_at:
            self.longest_gap_s = max(self.longest_gap_s, now - self.last_part_at)
        else:
            self.first_part_s = now - self.request.received_at
        self.last_part_at = now

    def outgoing(self, names: HeaderNames, endpoint: str, extra: Headers = ()) -> OutgoingRequest:
        """Return the request as an endpoint receives it.

        :param endpoint: identity of the endpoint; another one at its address refuses the request.
        :param extra: further headers that the system sets.
        """
        dropped = names.reserved | {names.deadline, b'authorization', b'content-length'}
        kept = drop_named(drop_connection_headers(self.request.headers), dropped)
        own: Headers = (
            (names.deadline, str(max(1, int(self.remaining_s * 1000))).encode()),
            (names.expected_endpoint, endpoint.encode()),
        )
        if self.customer:
            own = (*own, (names.customer, self.customer.encode()))
        if self.prompt is not None:
            own = (*own, (names.priority, str(min(self.priority, LEAST_URGENT)).encode()))
        if self.events is not None and self.events.last_id:
            kept = drop_named(kept, frozenset((names.last_event_id,)))
            own = (*own, (names.last_event_id, self.events.last_id))
        request = self.request
        if request.body or request.header(b'content-length') or _is_chunked(request):
            own = (*own, (b'content-length', str(len(request.body)).encode()))
        headers = (*kept, *own, *extra)
        return OutgoingRequest(
            self.request_id, request.method, request.target, headers, request.body
        )


def _is_chunked(request: CallerRequest) -> bool:
    return request.header(b'transfer-encoding') is not None

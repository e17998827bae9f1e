"""State of one endpoint as seen by this instance: listing entry, load, failures, cached prefixes."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from math import inf
from typing import TYPE_CHECKING

import msgspec
import trio

from shallotmux.estimates import EndpointEstimate, EndpointModel
from shallotmux.fleet import EngineRole, ListedEndpoint
from shallotmux.forwarding._headers import Headers
from shallotmux.forwarding._outcome import MISDIRECTED_STATUS
from shallotmux.placement import Prompt
from shallotmux.reachability import Reach
from shallotmux.relaying import Peer

if TYPE_CHECKING:
    from shallotmux.forwarding._endpoint import EndpointConnection

#: Consecutive failures after which an endpoint is avoided.
FAILURE_THRESHOLD = 3

#: Time for which an endpoint is avoided; it doubles from the initial value up to the maximum.
INITIAL_AVOID_S = 1.0
MAX_AVOID_S = 8.0

#: Cached prefixes remembered per engine.
MAX_REMEMBERED_PREFIXES = 512

#: Time for which an engine is assumed to have a prefix in its cache. A prefill engine receives only
#: prompts of the prefixes assigned to it; a decode engine receives all, and evicts within seconds.
PREFILL_CACHE_TTL_S = 15.0
DECODE_CACHE_TTL_S = 2.0

#: Time without any answer after which no further request is sent to an endpoint. It exceeds the time
#: to first token of an engine under load.
UNRESPONSIVE_AFTER_S = 1.2

#: Time for which no further request is sent to an endpoint that refused one without running it. It is
#: full, or is changing its role.
REFUSAL_BACKOFF_S = 0.4

#: Longest such time of an engine that refuses again and again, which doubles from the first one. An
#: engine that is full refuses in the same way as one that changes its role, and has room sooner.
MAX_REFUSAL_BACKOFF_S = 1.6

#: The same of an engine that says that it has another role than listed: the time of a role change (3 s)
#: and of the list (0.8 s).
ROLE_REFUSAL_BACKOFF_S = 3.8


#: Requests of this instance at an endpoint from the end of its rest until it has served one.
MAX_RETURNING_REQUESTS = 2


def _stay() -> bool:
    """Return that a request is not given up."""
    return False


class InFlightWork:
    """Context manager that counts a request or prefill as load of an endpoint.

    The request counts until the context ends, its prompt tokens until the answer begins.

    :param may_abandon: asked before the request is given up since this endpoint is out of reach; returns
        whether it may run elsewhere.
    """

    def __init__(
        self,
        state: EndpointState,
        uncached_tokens: float,
        may_abandon: Callable[[], bool] = _stay,
    ) -> None:
        self._state = state
        self._uncached_tokens = uncached_tokens
        self._may_abandon = may_abandon
        self.sent_at = trio.current_time()
        #: Connection of the request, once there is one.
        self.connection: EndpointConnection | None = None
        #: Scope that :meth:`abandon` cancels; the owner of this object enters it.
        self.scope = trio.CancelScope()

    @property
    def heard_at(self) -> float:
        """Return when bytes last arrived on the connection, or when the request was sent."""
        received_at = self.connection.received_at if self.connection else self.sent_at
        return max(self.sent_at, received_at)

    @property
    def was_sent(self) -> bool:
        """Return whether any byte of the request may have left this instance."""
        return self.connection is not None and self.connection.was_sent

    def __enter__(self) -> InFlightWork:
        """Add the request to the load of the endpoint."""
        self._state.in_flight += 1
        self._state.model.record_in_flight(self._state.in_flight, self.sent_at)
        self._state.queued_prefill_tokens += self._uncached_tokens
        self._state.unanswered.add(self)
        self._state.in_progress.add(self)
        self._state.busy.add(self._state.identity)
        return self

    def __exit__(self, *_: object) -> None:
        """Remove the request from the load of the endpoint."""
        self._state.in_flight -= 1
        self._state.model.record_in_flight(self._state.in_flight, trio.current_time())
        self._state.in_progress.discard(self)
        if not self._state.in_progress:
            self._state.busy.discard(self._state.identity)
        if self.heard_at > self.sent_at:
            self._state.reach.answered_at = max(self._state.reach.answered_at, self.heard_at)
        self._end_wait()

    def abandon(self, now: float, silent_s: float) -> None:
        """End the attempt if it may run elsewhere and nothing has arrived for a time.

        While a part of the answer is sent to a slow caller, nothing is read. The attempt then goes on, as
        a part that is sent by halves would end inside the framing of the answer.
        """
        is_waiting = self.connection is None or self.connection.is_receiving
        is_silent = is_waiting and now - self.heard_at >= silent_s
        if is_silent and not self.scope.cancel_called and self._may_abandon():
            self.scope.cancel()

    def record_answer(self) -> None:
        """Record that the answer has begun, which means that prefill is complete."""
        self._state.answered_at = trio.current_time()
        self._state.reach.answered_at = self._state.answered_at
        self._end_wait()

    def _end_wait(self) -> None:
        if self in self._state.unanswered:
            self._state.unanswered.remove(self)
            self._state.queued_prefill_tokens -= self._uncached_tokens


@dataclass(slots=True)
class EndpointState:
    """State of one endpoint."""

    listed: ListedEndpoint
    in_flight: int = 0
    #: Prompt tokens of this instance's requests that wait for prefill there.
    queued_prefill_tokens: float = 0.0
    #: What it reported and what was observed of it.
    model: EndpointModel = field(default_factory=EndpointModel)
    failures: int = 0
    avoided_until: float = float('-inf')
    avoid_s: float = INITIAL_AVOID_S
    #: Local time at which each prefix was last prefilled or fetched there for this instance, the
    #: newest last.
    prefixes: OrderedDict[bytes, float] = field(default_factory=OrderedDict)
    refused_until: float = float('-inf')
    #: Next such time after a refusal; it doubles until an answer or another role.
    refusal_s: float = REFUSAL_BACKOFF_S
    #: Local time at which the list first showed another role.
    role_since: float = float('-inf')
    #: Requests whose answer has not begun.
    unanswered: set[InFlightWork] = field(default_factory=set)
    in_progress: set[InFlightWork] = field(default_factory=set)
    #: Identities of the endpoints with requests in progress, shared by those of one directory.
    busy: set[str] = field(default_factory=set)
    answered_at: float = float('-inf')
    #: Local time at which a connection with an unanswered request last broke.
    broken_at: float = float('-inf')
    #: Local time until which it wants no request from this instance.
    rest_until: float = float('-inf')
    #: Whether it has not served a request since its last rest.
    is_returning: bool = False
    #: What connections to it showed.
    reach: Reach = field(default_factory=Reach)

    @property
    def identity(self) -> str:
        """Return the identity of the endpoint."""
        return self.listed.identity

    @property
    def may_answer(self) -> bool:
        """Return whether it can answer requests; prefill engines cannot."""
        return self.listed.role is not EngineRole.PREFILL

    @property
    def start_number(self) -> int:
        """Return a number that identifies this start of the endpoint in messages."""
        return self.listed.start_number

    def record_prompt(self, prompt: Prompt) -> None:
        """Record that the prefixes of a prompt are now in its cache."""
        now = trio.current_time()
        for part in prompt.parts:
            self.prefixes[part.prefix] = now
            self.prefixes.move_to_end(part.prefix)
        while len(self.prefixes) > MAX_REMEMBERED_PREFIXES:
            self.prefixes.popitem(last=False)

    def cached_prefixes(self, prompt: Prompt, now: float) -> frozenset[bytes]:
        """Return the prefixes of a prompt that are assumed to be in its cache."""
        if not self.prefixes:
            return frozenset()
        does_prefill = self.listed.role is not EngineRole.DECODE
        oldest = now - (PREFILL_CACHE_TTL_S if does_prefill else DECODE_CACHE_TTL_S)
        stored_at = self.prefixes.get
        return frozenset(
            part.prefix for part in prompt.parts if stored_at(part.prefix, -inf) >= oldest
        )

    def is_unresponsive(self, now: float) -> bool:
        """Return whether no request was answered since the oldest unanswered one, for too long."""
        oldest = min((work.sent_at for work in self.unanswered), default=now)
        return now - oldest > UNRESPONSIVE_AFTER_S and self.answered_at < oldest

    def is_resting(self, now: float) -> bool:
        """Return whether it has asked this instance for rest, and the time has not passed."""
        return self.rest_until > now

    def has_room(self, max_requests: float) -> bool:
        """Return whether this instance may have one more request there.

        Few requests come first when a rest ends, so that it does not get all that was kept away.

        :param max_requests: connection limit of this instance to the endpoint.
        """
        limit = min(max_requests, MAX_RETURNING_REQUESTS) if self.is_returning else max_requests
        return self.in_flight < limit

    def is_available(self, now: float) -> bool:
        """Return whether it accepts connections and answers, and is neither avoided nor backing off."""
        is_avoided = max(self.avoided_until, self.refused_until) > now
        is_failing = self.reach.failing_since is not None
        return not (is_avoided or is_failing or self.is_unresponsive(now))

    def record_refusal(self, now: float, status: int, sent_at: float) -> None:
        """Record that it refused a request without running it.

        Refusals that arrive during a backoff are of requests that were sent before it.

        :param sent_at: local time at which the request was sent; the role may have changed since.
        """
        self.model.record_refusal(now)
        if sent_at < self.role_since:
            return
        is_engine = self.listed.role is not EngineRole.MIXED
        if is_engine and status == MISDIRECTED_STATUS:
            self.refused_until = now + ROLE_REFUSAL_BACKOFF_S
        elif now >= self.refused_until:
            self.refused_until = now + self.refusal_s
            if is_engine:
                self.refusal_s = min(2 * self.refusal_s, MAX_REFUSAL_BACKOFF_S)

    def record_new_role(self, now: float) -> None:
        """Take requests again, as the list shows another role."""
        self.role_since = now
        self.refused_until = float('-inf')
        self.refusal_s = REFUSAL_BACKOFF_S

    def mark_leaving(self) -> None:
        """Take the endpoint for leaving, whatever the list says."""
        self.listed = msgspec.structs.replace(self.listed, is_leaving=True)

    def record_rest(self, until: float) -> None:
        """Record until when it wants no request."""
        self.rest_until = until
        self.is_returning = True

    def record_success(self) -> None:
        """Reset the failure count after a valid answer."""
        self.is_returning = False
        self.failures = 0
        self.avoid_s = INITIAL_AVOID_S
        self.refusal_s = REFUSAL_BACKOFF_S

    def record_failure(self, now: float) -> float:
        """Count a failure; returns the seconds for which the endpoint is avoided from now on."""
        self.failures += 1
        if self.failures < FAILURE_THRESHOLD:
            return 0.0
        self.failures = 0
        avoided_s = self.avoid_s
        self.avoided_until = now + avoided_s
        self.avoid_s = min(2 * avoided_s, MAX_AVOID_S)
        return avoided_s


@dataclass(frozen=True, slots=True)
class Outlook:
    """What is expected of an attempt when its endpoint is chosen.

    :param estimate: time at the endpoint of the attempt, from its choice on.
    :param expected_ms: whole time to the first part of the answer, a separate prefill included.
    :param placed_at: local time from which the whole time counts.
    :param chosen_at: local time at which the endpoint of the attempt was chosen.
    """

    estimate: EndpointEstimate
    expected_ms: float
    placed_at: float
    chosen_at: float


@dataclass(frozen=True, slots=True)
class Target:
    """Endpoint and parameters of an attempt.

    :param extra: further headers of the request.
    :param uncached_tokens: prompt tokens that need prefill before the answer begins.
    :param peer: instance that relays the request, if the attempt is not at an endpoint itself.
    :param outlook: expected time, if it was estimated.
    """

    state: EndpointState
    extra: Headers = ()
    uncached_tokens: float = 0.0
    peer: Peer | None = None
    outlook: Outlook | None = None

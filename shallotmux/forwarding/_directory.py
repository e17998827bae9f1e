"""The endpoints that this instance may use: the list, and what each of them answered."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import trio
from eliot import log_message

from shallotmux.fleet import CrashLedger, ListedEndpoint, Listing
from shallotmux.forwarding._state import FAILURES_TO_AVOID, EndpointState

#: Share of an endpoint's slots that must be busier before another zone's endpoint is taken.
OTHER_ZONE_LOAD = 0.5


class EndpointDirectory:
    """Endpoints by service.

    :param forget: is told the identity of an endpoint that is gone.
    :param crashes: is told the requests at which endpoints broke off.
    :param share: returns the connections that this instance may have to an endpoint of a service.
    """

    def __init__(
        self,
        forget: Callable[[str], None],
        crashes: CrashLedger | None = None,
        share: Callable[[str], float] | None = None,
    ) -> None:
        self._forget = forget
        self._share = share or (lambda _: float('inf'))
        self.crashes = crashes or CrashLedger()
        self._states: dict[str, EndpointState] = {}

    def update_listing(self, listing: Listing) -> None:
        """Follow the list of endpoints."""
        listed = {each.identity: each for each in listing.endpoints}
        for identity in tuple(self._states):
            if identity not in listed:
                self._states.pop(identity)
                self._forget(identity)
        for identity, each in listed.items():
            state = self._states.get(identity)
            if state is None or state.listed.started_ms != each.started_ms:
                self._forget(identity)
                self._states[identity] = EndpointState(each)
            else:
                self._follow(state, each)

    def usable(self, service: str, excluded: Iterable[str] = ()) -> list[EndpointState]:
        """Return the endpoints of a service that may get a request.

        Endpoints that failed lately are left out unless no other could answer.
        """
        now = trio.current_time()
        skipped = frozenset(excluded)
        share = self._share(service)
        ready = [
            state
            for state in self._states.values()
            if state.listed.service == service
            and not state.listed.is_leaving
            and state.identity not in skipped
            and state.in_flight < share
        ]
        sound = [state for state in ready if state.is_sound(now)]
        if any(state.may_answer for state in sound):
            return sound
        return sound + [state for state in ready if state.may_answer]

    def connection_share(self, identity: str) -> float:
        """Return the connections that this instance may have to an endpoint."""
        state = self._states.get(identity)
        return 0 if state is None else self._share(state.listed.service)

    def unread(self) -> dict[str, float]:
        """Return the tokens of this instance's requests that endpoints have yet to read."""
        return {
            identity: state.unread_tokens
            for identity, state in self._states.items()
            if state.unread_tokens
        }

    def find(self, identity: str) -> EndpointState | None:
        """Return an endpoint by its identity."""
        return self._states.get(identity)

    def note_silence(self, state: EndpointState, reason: str) -> None:
        """Avoid an endpoint that answers nothing; others need not wait for it, too."""
        state.failures = FAILURES_TO_AVOID
        self.note_failure(state, reason)

    def note_break(self, state: EndpointState, fingerprint: int) -> None:
        """Take note that an endpoint broke off while it may have run a request."""
        self.crashes.record_crash(fingerprint, state.start_number)

    def note_failure(self, state: EndpointState, reason: str) -> None:
        """Take note of an endpoint's failure."""
        if state.note_failure(trio.current_time()):
            log_message(
                message_type='shallotmux:endpoint-avoided',
                endpoint=state.identity,
                reason=reason,
                for_s=state.avoid_s,
            )

    def _follow(self, state: EndpointState, listed: ListedEndpoint) -> None:
        """Take the newest entry; an endpoint that left once does not come back."""
        if state.listed.is_leaving and not listed.is_leaving:
            return
        if state.listed.address != listed.address:
            self._forget(state.identity)
        state.listed = listed


def choose_least_busy(
    candidates: list[EndpointState], zone: str, draw: Callable[[], float]
) -> EndpointState | None:
    """Return an endpoint with little to do, one of the own zone if it is not much busier.

    :param draw: returns random numbers; instances that see equal loads choose differently.
    """
    now = trio.current_time()

    def rank(state: EndpointState) -> tuple[float, float]:
        slots = max(1, state.listed.slots)
        distance = 0.0 if state.listed.zone == zone else OTHER_ZONE_LOAD
        return state.busy(now) / slots + distance, draw()

    return min(candidates, key=rank, default=None)

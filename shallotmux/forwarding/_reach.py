"""Watch which endpoints this instance reaches, and end what waits for those that it does not."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from contextlib import suppress
from math import inf
from random import Random

import trio
from eliot import log_message

from shallotmux.forwarding._endpoint import CONNECT_TIMEOUT_S, ConnectionUnusable
from shallotmux.forwarding._pool import ConnectionPool
from shallotmux.forwarding._state import EndpointState
from shallotmux.reachability import TrialConnector, TrialTarget, find_cut, may_connect

#: Time without an answer from any endpoint of a service after which those with unanswered requests are
#: tried. It is shorter than the silence of a sound endpoint, as a trial does no harm.
SUSPECT_AFTER_S = 0.5

#: Time without a byte after which a request that may run elsewhere is given up, once its service is out
#: of reach from here and a peer may help. Sound endpoints may be silent for about a second.
ABANDON_AFTER_S = 1.2


class ReachMonitor:
    """Tells whether this instance is cut off from a service.

    While all endpoints accept connections, it looks only at those with requests in progress.

    :param states: the listed endpoints by identity.
    """

    def __init__(self, states: Mapping[str, EndpointState]) -> None:
        self._states = states
        #: Identities of the endpoints with requests in progress.
        self.busy: set[str] = set()
        #: Identities of endpoints that accepted no connection when last tried.
        self._failing: set[str] = set()
        self._random = Random()  # noqa: S311
        self._pool: ConnectionPool | None = None
        #: Tells whether a peer may take requests for a service.
        self.can_relay: Callable[[str], bool] = lambda _: False
        #: Time since when each service that is out of reach is so.
        self._cuts: dict[str, float] = {}
        #: Those that a peer has reached since.
        self._confirmed: set[str] = set()

    @property
    def cut_off_services(self) -> tuple[str, ...]:
        """Return the services of which no endpoint is in reach."""
        return tuple(sorted(self._cuts))

    def watch(self, pool: ConnectionPool) -> None:
        """Follow the connects of a pool."""
        self._pool = pool
        pool.on_connect.append(self._record_connect)

    async def run(self) -> None:
        """Try endpoints that accepted no connection, until cancelled."""
        await TrialConnector(self._trial_targets, self._try, self._update_cuts).run()

    def cut_since(self, service: str, software_version: str | None = None) -> float | None:
        """Return since when no endpoint of a service accepts connections; None if one may.

        :param software_version: version that the endpoints must have; None for any.
        """
        if not self._failing:
            return None
        return find_cut([each.reach for each in self._answering(service, software_version)])

    def confirm_cut(self, service: str) -> float | None:
        """Record that a peer reaches a service that is out of reach from here.

        :returns: since when it is out of reach, if that is news; None otherwise.
        """
        since = self._cuts.get(service)
        if since is None or service in self._confirmed:
            return None
        self._confirmed.add(service)
        log_message(message_type='shallotmux:cut-off-confirmed', service=service)
        return since

    def is_confirmed(self, service: str) -> bool:
        """Return whether a service is out of reach from here, and a peer reaches it."""
        return service in self._confirmed

    def may_send(
        self, state: EndpointState, cut_since: float | None, max_idle_s: float = inf
    ) -> bool:
        """Return whether a request can be sent to an endpoint.

        :param max_idle_s: longest idle time of a connection that may be reused.
        """
        if cut_since is None and state.reach.failing_since is None:
            return True
        idle = self._pool.idle_count(state.identity, max_idle_s) if self._pool else 0
        return may_connect(state.reach, cut_since, has_idle_connection=bool(idle))

    def _answering(
        self, service: str, software_version: str | None = None
    ) -> Iterator[EndpointState]:
        """Return the endpoints of a service that answer requests and take new ones."""
        return (
            state
            for state in self._states.values()
            if state.listed.service == service
            and software_version in {None, state.listed.software_version}
            and state.may_answer
            and not state.listed.is_leaving
        )

    def _trial_targets(self) -> list[TrialTarget]:
        """Return the endpoints of services in which some accept no connection, or are silent."""
        now = trio.current_time()
        self._forget_removed()
        suspects = self._find_suspects(now)
        services = {self._states[each].listed.service for each in self._failing | suspects}
        if not services:
            return []
        return [
            TrialTarget(identity, state.listed.service, state.reach, identity in suspects)
            for identity, state in self._states.items()
            if state.listed.service in services and not state.listed.is_leaving
        ]

    def _forget_removed(self) -> None:
        """Forget failures of starts that are not listed any more."""
        self._failing = {
            each
            for each in self._failing
            if each in self._states and self._states[each].reach.failing_since is not None
        }

    def _find_suspects(self, now: float) -> set[str]:
        """Return the endpoints that leave a request without a byte, in services that are silent."""
        busy = [self._states[each] for each in self.busy if each in self._states]
        waiting = {each.identity for each in busy if _is_waiting(each, now)}
        if not waiting:
            return waiting
        services = {self._states[each].listed.service for each in waiting}
        silent = services - {
            each.listed.service
            for each in self._states.values()
            if each.listed.service in services and _heard_at(each) > now - SUSPECT_AFTER_S
        }
        return {each for each in waiting if self._states[each].listed.service in silent}

    async def _try(self, identity: str) -> None:
        state = self._states.get(identity)
        if state is None or self._pool is None:
            return
        with suppress(ConnectionUnusable):
            await self._pool.add_connection(identity, state.listed.address, CONNECT_TIMEOUT_S)

    def _record_connect(self, identity: str, began_at: float, is_connected: bool) -> None:  # noqa: FBT001
        state = self._states.get(identity)
        if state is None:
            return
        reach, now = state.reach, trio.current_time()
        was_failing = reach.failing_since is not None
        if is_connected:
            reach.record_connected(now)
            self._failing.discard(identity)
        else:
            reach.record_failed(began_at, now, self._random.random())
        if reach.failing_since is not None:
            self._failing.add(identity)
        if was_failing != (reach.failing_since is not None):
            log_message(
                message_type='shallotmux:endpoint-reach',
                endpoint=identity,
                service=state.listed.service,
                is_reached=is_connected,
                answered_age_s=_age(reach.answered_at, now),
                connected_age_s=_age(reach.connected_at, now),
            )
        if is_connected and was_failing:
            self._hasten_trials(state.listed.service, now)
        self._update_cuts()

    def _hasten_trials(self, service: str, now: float) -> None:
        """Try the other endpoints of a service soon, since one of them is reached again."""
        for identity in self._failing & self._states.keys():
            state = self._states[identity]
            if state.listed.service == service:
                soon = now + 0.2 * self._random.random()
                state.reach.next_trial_at = min(state.reach.next_trial_at, soon)

    def _update_cuts(self) -> None:
        """Log which services got out of reach or are back, and give up what waits for them."""
        now = trio.current_time()
        failing = self._failing & self._states.keys()
        services = {self._states[each].listed.service for each in failing}
        for service in services | self._cuts.keys():
            since = self.cut_since(service)
            if since is None:
                self._end_cut(service, now)
                continue
            if service not in self._cuts:
                self._begin_cut(service, since, now)
            if self.can_relay(service):
                self._abandon_work(service, now)

    def _abandon_work(self, service: str, now: float) -> None:
        """Give up what waits for the endpoints of a service and may run elsewhere."""
        for identity in self.busy & self._states.keys():
            state = self._states[identity]
            if state.listed.service == service:
                for work in tuple(state.in_progress):
                    work.abandon(now, ABANDON_AFTER_S)

    def _begin_cut(self, service: str, since: float, now: float) -> None:
        self._cuts[service] = since
        states = tuple(self._answering(service))
        log_message(
            message_type='shallotmux:cut-off',
            service=service,
            since_age_s=_age(since, now),
            endpoints=len(states),
            failing=sum(each.reach.failing_since is not None for each in states),
            in_progress=sum(len(each.in_progress) for each in states),
            answered_age_s=_age(max(each.reach.answered_at for each in states), now),
        )

    def _end_cut(self, service: str, now: float) -> None:
        since = self._cuts.pop(service, None)
        self._confirmed.discard(service)
        if since is not None:
            log_message(
                message_type='shallotmux:cut-off-ended',
                service=service,
                lasted_s=round(now - since, 2),
                endpoints=sum(1 for _ in self._answering(service)),
            )


def _heard_at(state: EndpointState) -> float:
    """Return when bytes last arrived from an endpoint."""
    return max(
        [state.reach.answered_at]
        + [each.connection.received_at for each in state.in_progress if each.connection]
    )


def _is_waiting(state: EndpointState, now: float) -> bool:
    """Return whether an endpoint has left a request without a byte for a time."""
    oldest = min((each.heard_at for each in state.in_progress), default=now)
    return now - oldest > SUSPECT_AFTER_S


def _age(at: float, now: float) -> float | None:
    """Return the age of an event for a log line; None if there was none."""
    return None if at == float('-inf') else round(now - at, 2)

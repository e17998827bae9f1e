"""Record what endpoints say of themselves in their answers: that they leave, or need rest."""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping
from functools import partial
from random import Random

import trio
from eliot import log_message

from shallotmux.forwarding._messages import AnswerHead
from shallotmux.forwarding._names import HeaderNames
from shallotmux.forwarding._state import EndpointState
from shallotmux.notices import LeavingRecords, RestRecords, parse_rest_s, says_leaving

#: Statuses with which an endpoint that asks for rest turns a request away.
RESTING_STATUSES = frozenset((429, 503))

#: Time over which the requests of the instances and the callers return after a rest.
RETURN_SPREAD_S = 0.5


class EndpointNotices:
    """Notices of the listed endpoints. They hold for one start of an endpoint.

    :param states: the listed endpoints by identity.
    :param names: names of the headers of answers.
    """

    def __init__(self, states: Mapping[str, EndpointState], names: HeaderNames) -> None:
        self._states = states
        self._names = names
        self._rests = RestRecords()
        self._leaving = LeavingRecords()
        self._random = Random()  # noqa: S311

    def observe_heads(self, identity: str) -> Callable[[AnswerHead], None] | None:
        """Return what records the notices in answers on a new connection to an endpoint.

        It is bound to the start of the endpoint to which the connection leads.
        """
        state = self._states.get(identity)
        return None if state is None else partial(self._record_notices, state)

    def restore(self, state: EndpointState) -> None:
        """Apply to a new entry what its start said before it dropped out of the list."""
        if state.start_number in self._leaving:
            state.mark_leaving()
        rest_until = self._rests.until(state.start_number)
        if rest_until > trio.current_time():
            state.record_rest(rest_until)

    def record_leaving(self, start: int) -> None:
        """Record that the start of an endpoint leaves, as it said in an answer."""
        if not self._leaving.add(start, trio.current_time()):
            return
        for state in self._states.values():
            if state.start_number == start:
                state.mark_leaving()
                log_message(
                    message_type='shallotmux:endpoint-leaves',
                    endpoint=state.identity,
                    start=f'{start:08x}',
                    in_flight=state.in_flight,
                )

    def may_resume(self, state: EndpointState, service: str, software_version: str) -> bool:
        """Return whether a stream may be resumed at an endpoint that has just said that it leaves."""
        listed = state.listed
        is_of_stream = (listed.service, listed.software_version) == (service, software_version)
        now = trio.current_time()
        return (
            is_of_stream and state.may_answer and self._leaving.may_resume(state.start_number, now)
        )

    def spread_return(self, rest_until: float) -> float:
        """Return the time after which a caller may come back when the first rest ends."""
        rest_s = rest_until - trio.current_time()
        return rest_s + RETURN_SPREAD_S * self._random.random()

    def _record_notices(self, state: EndpointState, head: AnswerHead) -> None:
        """Record what the head of an answer tells of the plans of its endpoint."""
        if says_leaving(head.header(self._names.leaving)):
            self.record_leaving(state.start_number)
        rest_s = 0.0
        if head.status in RESTING_STATUSES:
            rest_s = parse_rest_s(head.header(self._names.retry_after), time.time())
        if rest_s:
            self._record_rest(state, head.status, rest_s)

    def _record_rest(self, state: EndpointState, status: int, rest_s: float) -> None:
        """Record for how long an endpoint that turned a request away wants none."""
        now = trio.current_time()
        is_new = not state.is_resting(now)
        until = now + rest_s + RETURN_SPREAD_S * self._random.random()
        state.record_rest(self._rests.extend(state.start_number, until))
        if is_new:
            log_message(
                message_type='shallotmux:endpoint-rests',
                endpoint=state.identity,
                start=f'{state.start_number:08x}',
                status=status,
                asked_s=rest_s,
                for_s=round(state.rest_until - now, 2),
                in_flight=state.in_flight,
            )

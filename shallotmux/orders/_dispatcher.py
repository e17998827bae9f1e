"""Deliver the open orders of a zone to engines and to the platform."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Protocol

import trio
from eliot import log_message

from shallotmux.authority import (
    Attempt,
    AttemptBegun,
    Authority,
    BeginAttempt,
    CloseIntent,
    EndAttempt,
    ForgetAttempt,
    Intent,
    IntentOpened,
    OpenIntent,
    OrderContent,
    ReleaseEndpoint,
    Result,
)
from shallotmux.errors import EndpointError, EndpointRefused
from shallotmux.orders._leadership import POLL_INTERVAL_S, LeadershipOptions, Term, commit
from shallotmux.orders._requests import build_order, order_id
from shallotmux.orders._sender import OrderSender
from shallotmux.world import Endpoint

#: Prefix of order targets that are addressed to the platform.
PLATFORM_PREFIX = 'platform/'

#: First and largest delay of the exponential backoff between attempts, in seconds.
FIRST_RETRY_S = 0.2
MAX_RETRY_S = 5.0

STATUS_OK = 200
STATUS_FENCED = 412

#: Waits until an engine has no running stream; returns False if that could not be verified.
DrainCallback = Callable[[Endpoint], Awaitable[bool]]


class PresenceChecker(Protocol):
    """Tells whether the platform still lists instances and endpoints."""

    def is_instance_gone(self, sender: str) -> bool:
        """Tell whether the instance that a sender names is no longer listed."""

    def is_endpoint_gone(self, name: str) -> bool:
        """Tell whether an endpoint was listed before and no longer is."""


@dataclass(frozen=True, slots=True)
class OrderDependencies:
    """Dependencies of the dispatcher.

    :param drain: drains an engine before an order is sent.
    :param platform_address: address of the platform's API.
    """

    authority: Authority
    sender: OrderSender
    drain: DrainCallback
    presence: PresenceChecker
    platform_address: str
    options: LeadershipOptions = field(default_factory=LeadershipOptions)


class OrderDispatcher:
    """Sends each open order until it is answered, with one order per target at a time."""

    def __init__(self, dependencies: OrderDependencies) -> None:
        self._dependencies = dependencies
        self._active_targets: set[str] = set()

    async def commit_order(
        self, term: Term, target: str, content: OrderContent, *, checks_fencing: bool
    ) -> Result:
        """Commit an order, which :meth:`run` then delivers.

        :param checks_fencing: whether the target rejects orders with an older fencing token.
        :returns: ``IntentOpened``, or ``Refused`` if the target cannot take an order now.
        """
        result = await commit(
            self._dependencies.authority,
            OpenIntent(term.operation_id(), target, content, checks_fencing, term.number),
        )
        log_message(
            message_type='shallotmux:decision:order',
            target=target,
            content=repr(content),
            opened=isinstance(result, IntentOpened),
            result=repr(result),
        )
        return result

    async def run(self, term: Term) -> None:
        """Deliver open orders until cancelled at the end of the term."""
        self._active_targets.clear()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._expire_attempts, term)
            while True:
                for intent in self._undelivered():
                    self._active_targets.add(intent.target)
                    nursery.start_soon(self._deliver, term, intent)
                await trio.sleep(POLL_INTERVAL_S)

    def _undelivered(self) -> tuple[Intent, ...]:
        opened = self._dependencies.authority.read().intents.open_intents()
        return tuple(intent for intent in opened if intent.target not in self._active_targets)

    async def _deliver(self, term: Term, intent: Intent) -> None:
        delay_s = FIRST_RETRY_S
        drained = False
        try:
            while self._is_open(intent):
                if self._is_gone(intent.target):
                    await self._close(term, intent, 'target-gone')
                    return
                drained = drained or await self._drain(intent)
                if drained and await self._attempt_delivery(term, intent):
                    return
                await trio.sleep(delay_s)
                delay_s = min(2 * delay_s, MAX_RETRY_S)
        finally:
            self._active_targets.discard(intent.target)

    async def _drain(self, intent: Intent) -> bool:
        match intent.content:
            case ReleaseEndpoint(endpoint=name):
                endpoint = self._dependencies.authority.read().find_endpoint(name)
            case _:
                endpoint = self._dependencies.authority.read().find_endpoint(intent.target)
        return endpoint is None or await self._dependencies.drain(endpoint)

    def _is_gone(self, target: str) -> bool:
        address = self._find_address(target)
        return address is None or self._dependencies.presence.is_endpoint_gone(target)

    async def _attempt_delivery(self, term: Term, intent: Intent) -> bool:
        """Try to deliver an order once, and return whether no further attempt is needed."""
        address = self._find_address(intent.target)
        if address is None:
            return False
        begun = await commit(
            self._dependencies.authority,
            BeginAttempt(
                term.operation_id(), intent.target, intent.sequence, term.sender, term.number
            ),
        )
        if not isinstance(begun, AttemptBegun):
            return True
        return await self._send(term, intent, address, begun.attempt)

    async def _send(self, term: Term, intent: Intent, address: str, attempt: int) -> bool:
        request = build_order(intent, address, term.number)
        delivered, outcome, detail = True, '', ''
        try:
            status, _ = await self._dependencies.sender.send(request, term.guard)
        except EndpointRefused as error:
            detail = str(error)
        except EndpointError as error:
            delivered, detail = False, str(error)
        else:
            outcome, detail = _read_outcome(status), f'status {status}'
        log_message(
            message_type='shallotmux:order-attempt',
            order=order_id(intent),
            attempt=attempt,
            term=term.number,
            outcome=outcome or 'retry',
            detail=detail,
        )
        await commit(
            self._dependencies.authority,
            EndAttempt(
                term.operation_id(), intent.target, attempt, delivered, outcome, term.number
            ),
        )
        return bool(outcome)

    async def _close(self, term: Term, intent: Intent, outcome: str) -> None:
        await commit(
            self._dependencies.authority,
            CloseIntent(term.operation_id(), intent.target, intent.sequence, outcome, term.number),
        )

    def _find_address(self, target: str) -> str | None:
        if target.startswith(PLATFORM_PREFIX):
            return self._dependencies.platform_address
        endpoint = self._dependencies.authority.read().find_endpoint(target)
        return endpoint.address if endpoint else None

    def _is_open(self, intent: Intent) -> bool:
        return self._dependencies.authority.read().intents.target(intent.target).intent == intent

    async def _expire_attempts(self, term: Term) -> None:
        """Remove unanswered attempts once there is evidence that they can no longer arrive."""
        first_seen: dict[tuple[str, int], float] = {}
        while True:
            for target, attempt in self._unanswered():
                seen_s = first_seen.setdefault((target, attempt.number), trio.current_time())
                age_s = trio.current_time() - seen_s
                await self._expire_attempt(term, target, attempt, age_s)
            await trio.sleep(1)

    async def _expire_attempt(
        self, term: Term, target: str, attempt: Attempt, age_s: float
    ) -> None:
        evidence = ''
        if age_s >= self._dependencies.options.unfenced_guard_s:
            evidence = 'bound-passed'
        elif attempt.sender != term.sender and self._dependencies.presence.is_instance_gone(
            attempt.sender
        ):
            evidence = 'listed-as-gone'
        if evidence:
            command = ForgetAttempt(
                term.operation_id(), target, attempt.number, evidence, term.number
            )
            await commit(self._dependencies.authority, command)

    def _unanswered(self) -> tuple[tuple[str, Attempt], ...]:
        targets = self._dependencies.authority.read().intents.targets
        return tuple(
            (name, attempt)
            for name, target in targets.items()
            if not target.checks_fencing
            for attempt in target.attempts
        )


def _read_outcome(status: int) -> str:
    """Return the outcome with which a status closes an order, or an empty string to retry."""
    if status == STATUS_OK:
        return 'done'
    if status == STATUS_FENCED or status >= 500:
        return ''
    return 'refused'

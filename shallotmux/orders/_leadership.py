"""Run tasks only while this instance is the leader of its zone's group."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from itertools import count

import trio
from eliot import log_message

from shallotmux.authority import Authority, Command, Refused, Result, TakeAuthority
from shallotmux.errors import AuthorityUnavailable, OutcomeUnknown
from shallotmux.orders._sender import LeaseGuard

#: Interval at which leadership is polled, in seconds.
POLL_INTERVAL_S = 0.1

#: Delay in seconds before a command with an unknown outcome is retried under the same id.
COMMIT_RETRY_S = 0.2


@dataclass(frozen=True, slots=True)
class LeadershipOptions:
    """Time bounds on the effects of a former leader.

    :param lease_s: duration of a leader's lease.
    :param clock_rate_margin: largest relative rate difference between two clocks.
    :param user_timeout_s: ``TCP_USER_TIMEOUT`` of connections for orders.
    :param unfenced_guard_s: time after which an unanswered order to a target that ignores
        fencing tokens can no longer arrive. It covers a sender that is paused for one minute.
    """

    lease_s: float = 0.7
    clock_rate_margin: float = 0.02
    user_timeout_s: float = 0.5
    unfenced_guard_s: float = 90.0

    @property
    def takeover_delay_s(self) -> float:
        """Return the time in seconds that a new leader waits before its first order."""
        return self.lease_s * (1 + self.clock_rate_margin) + self.user_timeout_s


@dataclass(frozen=True, slots=True)
class Term:
    """A term in which this instance is the leader.

    :param sender: name and incarnation of this instance.
    """

    number: int
    sender: str
    guard: LeaseGuard
    operation_numbers: count[int]

    def operation_id(self) -> str:
        """Return an operation id that has not been used in this term."""
        return f'lead/{self.sender}/{self.number}/{next(self.operation_numbers)}'


async def commit(authority: Authority, command: Command) -> Result:
    """Commit a command, and retry it under the same id until its outcome is known."""
    while True:
        try:
            return await authority.submit(command)
        except (AuthorityUnavailable, OutcomeUnknown):
            await trio.sleep(COMMIT_RETRY_S)


async def run_as_leader(
    authority: Authority,
    sender: str,
    options: LeadershipOptions,
    work: Callable[[Term], Awaitable[None]],
) -> None:
    """Run ``work`` in each term in which this instance is leader; cancel it at the end.

    :param sender: name and incarnation of this instance.
    """
    while True:
        leadership = authority.leadership()
        if not leadership.is_leader:
            await trio.sleep(POLL_INTERVAL_S)
            continue
        term = Term(leadership.term, sender, LeaseGuard(authority, leadership.term), count(1))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_cancel_at_term_end, authority, term, nursery.cancel_scope)
            if await _take_authority(authority, term, options):
                await work(term)
            nursery.cancel_scope.cancel()


async def _cancel_at_term_end(authority: Authority, term: Term, scope: trio.CancelScope) -> None:
    leadership = authority.leadership()
    while leadership.is_leader and leadership.term == term.number:
        await trio.sleep(POLL_INTERVAL_S)
        leadership = authority.leadership()
    log_message(message_type='shallotmux:term-ended', sender=term.sender, term=term.number)
    scope.cancel()


async def _take_authority(authority: Authority, term: Term, options: LeadershipOptions) -> bool:
    await trio.sleep(options.takeover_delay_s)
    result = await commit(authority, TakeAuthority(term.operation_id(), term.sender, term.number))
    taken = not isinstance(result, Refused)
    log_message(
        message_type='shallotmux:authority-taken',
        sender=term.sender,
        term=term.number,
        taken=taken,
    )
    return taken

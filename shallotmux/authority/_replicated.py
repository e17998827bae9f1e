"""Access to the replicated state of a group from any of its instances."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

import trio

from shallotmux.authority._driver import GroupDriver
from shallotmux.authority._local import Leadership
from shallotmux.authority._state import Command, Result, ZoneState, decode_result, encode_command
from shallotmux.errors import AuthorityUnavailable, OutcomeUnknown
from shallotmux.transport import ForwardAnswer, PeerNetwork, Refusal, instance_name

#: Timeout of one attempt, after which the current leader is asked again. It is far longer than a
#: round trip with a sync, and short enough for two attempts within the longest election.
ATTEMPT_TIMEOUT_S = 1.0

#: Mean delay between attempts, which avoids a busy loop during an election.
RETRY_DELAY_S = 0.05

#: Reason of a refusal for lack of a leader.
NO_LEADER = 'no leader is known'


@dataclass(frozen=True, slots=True)
class AuthorityLimits:
    """Time limits of reads and writes.

    :param freshness_s: age of the last confirmation in seconds from which the state is stale.
    :param submit_s: timeout of a command in seconds, retries included.
    """

    freshness_s: float = 3.0
    submit_s: float = 6.0


class ReplicatedAuthority:
    """Implements :class:`Authority` on a replication group.

    :param leader: returns the identity of the leader as known to this instance.
    :param has_no_leader: returns whether commands are refused at once while no leader is known, since
        none was found in the time of an election.
    """

    def __init__(
        self,
        driver: GroupDriver,
        network: PeerNetwork,
        leader: Callable[[], str | None],
        limits: AuthorityLimits,
        random: Random,
        has_no_leader: Callable[[], bool] | None = None,
    ) -> None:
        self._driver = driver
        self._network = network
        self._leader = leader
        self._limits = limits
        self._random = random
        self._has_no_leader = has_no_leader

    async def submit(self, command: Command) -> Result:
        """Commit a command, retrying with the same operation id until the time limit."""
        payload = encode_command(command)
        deadline = trio.current_time() + self._limits.submit_s
        is_known_uncommitted, detail = True, NO_LEADER
        while trio.current_time() < deadline:
            answer = await self._attempt(payload, deadline)
            if answer.refusal is Refusal.NONE:
                return decode_result(answer.result)
            detail = answer.detail
            is_known_uncommitted = is_known_uncommitted and answer.refusal is not Refusal.UNKNOWN
            if answer.refusal is Refusal.INVALID or self._is_hopeless():
                break
            await trio.sleep(RETRY_DELAY_S * self._random.uniform(0.5, 1.5))
        message = f'operation {command.operation_id!r}: {detail}'
        if is_known_uncommitted:
            raise AuthorityUnavailable(message, step='commit', peer=self._leader() or '')
        raise OutcomeUnknown(message, step='commit', peer=self._leader() or '')

    def read(self) -> ZoneState:
        """Return the local state, which callers must not change."""
        return self._driver.state.zone

    def is_fresh(self) -> bool:
        """Return whether the local state was confirmed within the freshness limit."""
        age = trio.current_time() - self._driver.state.confirmed_at
        return age < self._limits.freshness_s

    def leadership(self) -> Leadership:
        """Return the leader of the group as known to this instance."""
        status = self._driver.status()
        leader = instance_name(self._leader() or '')
        return Leadership(leader, status.term, status.lease_end, self._driver.is_leader())

    async def wait_changed(self, revision: int) -> None:
        """Wait until the revision of the local state exceeds the given one."""
        await self._driver.state.wait_changed(revision)

    def _is_hopeless(self) -> bool:
        """Return whether there is no leader to ask, and none is to be expected soon."""
        return self._leader() is None and self._has_no_leader is not None and self._has_no_leader()

    async def _attempt(self, payload: bytes, deadline: float) -> ForwardAnswer:
        timeout_s = min(ATTEMPT_TIMEOUT_S, deadline - trio.current_time())
        leader = self._leader()
        if leader is None:
            return ForwardAnswer(refusal=Refusal.NOT_COMMITTED, detail=NO_LEADER)
        if leader == self._driver.identity:
            return await self._driver.commit(payload, timeout_s)
        try:
            return await self._network.forward(
                instance_name(leader), self._driver.group, payload, timeout_s
            )
        except AuthorityUnavailable as error:
            return ForwardAnswer(refusal=Refusal.NOT_COMMITTED, detail=str(error))
        except OutcomeUnknown as error:
            return ForwardAnswer(refusal=Refusal.UNKNOWN, detail=str(error))

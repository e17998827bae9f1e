"""Stop of a control instance: it hands leadership and its vote over, as it may not come back."""

from __future__ import annotations

import msgspec
import trio
from eliot import log_message

from shallotmux.authority import GroupDriver
from shallotmux.errors import ShallotmuxError
from shallotmux.fleet import (
    LEAVE_GROUP,
    Leave,
    LeaveAnswer,
    decode_leave,
    decode_leave_answer,
    encode_fleet_message,
)
from shallotmux.replication import Role
from shallotmux.transport import ForwardAnswer, PeerNetwork, Refusal, instance_name

#: Time for both; a stop is not prolonged beyond it.
LEAVE_TIMEOUT_S = 1.0

#: Interval at which a transfer of leadership, or the notice to the leader, is repeated.
TRANSFER_INTERVAL_S = 0.25
NOTICE_INTERVAL_S = 0.1
NOTICE_TIMEOUT_S = 0.5

#: Time for which a notice is valid. It exceeds that in which the instance waits for its successor; an
#: instance that restarts is soon a member like the others.
NOTICE_TTL_S = 1.5


class Departures:
    """Members that said that they stop."""

    def __init__(self) -> None:
        self._noticed_at: dict[str, float] = {}

    def record(self, identity: str, now: float) -> None:
        """Record a notice."""
        self._noticed_at[identity] = now

    def valid(self, now: float) -> frozenset[str]:
        """Return the members with a valid notice, and forget the others."""
        self._noticed_at = {
            each: at for each, at in self._noticed_at.items() if now - at < NOTICE_TTL_S
        }
        return frozenset(self._noticed_at)

    def answer(self, driver: GroupDriver, payload: bytes) -> ForwardAnswer:
        """Record the notice of an instance, and answer whether its vote is about to be given away.

        An instance that does not lead records nothing; the sender asks the leader next.
        """
        try:
            identity = decode_leave(payload).identity
        except msgspec.DecodeError as error:
            return ForwardAnswer(refusal=Refusal.INVALID, detail=str(error))
        is_waiting = True
        if driver.is_leader():
            now = trio.current_time()
            self.record(identity, now)
            configuration = driver.status().configuration
            staying = configuration.learners - self.valid(now)
            # The target is odd: with an even number, a successor was promoted and the removal is due.
            is_exchanging = len(configuration.voters) % 2 == 0
            is_waiting = identity in configuration.voters and (is_exchanging or bool(staying))
        return ForwardAnswer(encode_fleet_message(LeaveAnswer(is_waiting)))


async def leave_group(driver: GroupDriver, network: PeerNetwork) -> None:
    """Transfer leadership if this instance leads, and wait until another member has its vote.

    The wait ends early if there is no other member for it, or if the leader's build does not know of it.
    """
    with trio.move_on_after(LEAVE_TIMEOUT_S):
        await transfer_leadership(driver)
        while await _is_waiting(driver, network):
            await trio.sleep(NOTICE_INTERVAL_S)


async def transfer_leadership(driver: GroupDriver) -> None:
    """Transfer leadership to the voter that answered last, if this instance leads."""
    while driver.status().role is Role.LEADER:
        successor = _find_successor(driver)
        if successor is None:
            return
        driver.transfer(successor)
        await trio.sleep(TRANSFER_INTERVAL_S)


def _find_successor(driver: GroupDriver) -> str | None:
    followers = driver.followers()
    voters = driver.status().configuration.voters & followers.keys()
    return max(
        sorted(voters),
        key=lambda each: (followers[each].acked_at, followers[each].match_index),
        default=None,
    )


async def _is_waiting(driver: GroupDriver, network: PeerNetwork) -> bool:
    """Tell the leader that this instance stops, and return whether to tell it again."""
    status = driver.status()
    if driver.identity not in status.configuration.members:
        return False
    if status.leader is None or status.role is Role.LEADER:
        return status.role is not Role.LEADER and driver.identity in status.configuration.voters
    leader = instance_name(status.leader)
    payload = encode_fleet_message(Leave(driver.identity))
    try:
        answer = await network.forward(leader, LEAVE_GROUP, payload, NOTICE_TIMEOUT_S)
        if answer.refusal is not Refusal.NONE:
            return False
        return decode_leave_answer(answer.result).is_waiting
    except (ShallotmuxError, msgspec.DecodeError) as error:
        log_message(
            message_type='shallotmux:leave-unanswered', level='debug', peer=leader, error=str(error)
        )
        return True

"""What instances send to each other, and the interface through which they do."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from random import Random

    import trio

#: Separates an instance's name from its incarnation; instance names cannot contain it.
INCARNATION_MARK = '~'

#: Random bits of an incarnation; a repeat within a group's lifetime must not happen.
INCARNATION_BITS = 64


class Channel(IntEnum):
    """Which part of an instance an envelope is for; the numbers are those of the protocol file."""

    REPLICATION = 0
    MEMBERSHIP = 1


class Refusal(IntEnum):
    """Why a forwarded command has no result; the numbers are those of the protocol file."""

    NONE = 0
    NOT_COMMITTED = 1
    UNKNOWN = 2
    INVALID = 3


@dataclass(frozen=True, slots=True)
class PeerEnvelope:
    """A message between two instances.

    :param group: replication group that the message belongs to.
    :param sender: identity of the sender, which may carry an incarnation.
    :param recipient: identity of the recipient; without an incarnation, any incarnation is meant.
    :param may_wait: whether the envelope may wait a little for the next one to the same peer. Not
        sent.
    """

    group: str
    sender: str
    recipient: str
    channel: Channel
    payload: bytes
    may_wait: bool = field(default=False, compare=False)


@dataclass(frozen=True, slots=True)
class ForwardAnswer:
    """Answer to a forwarded command: an encoded result, or a refusal."""

    result: bytes = b''
    refusal: Refusal = Refusal.NONE
    detail: str = ''


class PeerHandler(Protocol):
    """Receives what peers send to an instance."""

    def receive(self, envelope: PeerEnvelope) -> None:
        """Take an envelope without waiting; it may be dropped."""

    async def handle_forward(self, group: str, command: bytes) -> ForwardAnswer:
        """Commit a command that a peer forwarded."""


class PeerNetwork(Protocol):
    """Connects an instance to its peers."""

    async def run(self, handler: PeerHandler, *, task_status: trio.TaskStatus[str] = ...) -> None:
        """Exchange messages until cancelled; the address is given to ``task_status``."""

    def send(self, envelope: PeerEnvelope) -> None:
        """Send an envelope, or drop it when the peer's queue is full."""

    async def forward(
        self, peer: str, group: str, command: bytes, timeout_s: float
    ) -> ForwardAnswer:
        """Let a peer commit a command.

        :raises AuthorityUnavailable: if the command certainly did not reach the peer.
        :raises OutcomeUnknown: if the answer was lost.
        """


def new_identity(name: str, random: Random) -> str:
    """Return an identity for an instance that has lost its earlier vote."""
    return f'{name}{INCARNATION_MARK}{random.getrandbits(INCARNATION_BITS):x}'


def instance_name(identity: str) -> str:
    """Return the instance's name in an identity."""
    return identity.partition(INCARNATION_MARK)[0]

"""Messages between instances, and the interface of the network that carries them."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from random import Random

    import trio

#: Separates an instance's name from its incarnation; instance names cannot contain it.
INCARNATION_SEPARATOR = '~'

#: Random bits of an incarnation, enough that none repeats within the lifetime of a group.
INCARNATION_BITS = 64


class Channel(IntEnum):
    """Part of an instance that handles an envelope; the values are those of the protocol file."""

    REPLICATION = 0
    MEMBERSHIP = 1


class Refusal(IntEnum):
    """Why a forwarded command has no result; the values are those of the protocol file."""

    NONE = 0
    NOT_COMMITTED = 1
    UNKNOWN = 2
    INVALID = 3


@dataclass(frozen=True, slots=True)
class PeerEnvelope:
    """A message between two instances.

    :param group: replication group that the message belongs to.
    :param sender: identity of the sender, which may carry an incarnation.
    :param recipient: identity of the recipient; without an incarnation, it matches any.
    :param may_wait: whether the envelope may be delayed until the next one to the same peer. Not
        part of the wire message.
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
    """Handles what peers send to an instance."""

    def receive(self, envelope: PeerEnvelope) -> None:
        """Accept an envelope without blocking; it may be dropped."""

    async def handle_forward(self, group: str, command: bytes) -> ForwardAnswer:
        """Commit a command that a peer forwarded."""


class PeerNetwork(Protocol):
    """Connects an instance to its peers."""

    async def run(self, handler: PeerHandler, *, task_status: trio.TaskStatus[str] = ...) -> None:
        """Exchange messages until cancelled; the address is given to ``task_status``."""

    def send(self, envelope: PeerEnvelope) -> None:
        """Send an envelope, or drop it if the peer's queue is full."""

    async def forward(
        self, peer: str, group: str, command: bytes, timeout_s: float
    ) -> ForwardAnswer:
        """Forward a command to a peer, which commits it.

        :raises AuthorityUnavailable: if the command certainly did not reach the peer.
        :raises OutcomeUnknown: if the answer was lost.
        """


def new_identity(name: str, random: Random) -> str:
    """Return an identity for an instance whose earlier vote is lost: its name and an incarnation."""
    return f'{name}{INCARNATION_SEPARATOR}{random.getrandbits(INCARNATION_BITS):x}'


def instance_name(identity: str) -> str:
    """Return the name of the instance that has an identity."""
    return identity.partition(INCARNATION_SEPARATOR)[0]

"""Inputs that wait in the queue of a group's driver."""

from __future__ import annotations

from dataclasses import dataclass, field

import trio

from shallotmux.authority._document import ReadDocument
from shallotmux.replication import Envelope
from shallotmux.transport import ForwardAnswer, Refusal


@dataclass(slots=True)
class Proposal:
    """A command that waits to be committed, or a read that waits to be confirmed.

    :param read: the command if it is a read, which is answered without an entry in the log.
    :param answer: result of the command; valid once ``done`` is set.
    """

    payload: bytes
    read: ReadDocument | None = None
    answer: ForwardAnswer = ForwardAnswer(refusal=Refusal.NOT_COMMITTED, detail='not proposed')
    is_proposed: bool = False
    is_abandoned: bool = False
    term: int = 0
    done: trio.Event = field(default_factory=trio.Event)

    def finish(self, answer: ForwardAnswer) -> None:
        """Set the answer and wake the submitter."""
        self.answer = answer
        self.done.set()


@dataclass(frozen=True, slots=True)
class ReceivedMessage:
    """A replication message that waits to be processed.

    :param size: size of its encoding in bytes.
    """

    envelope: Envelope
    size: int


Input = ReceivedMessage | Proposal

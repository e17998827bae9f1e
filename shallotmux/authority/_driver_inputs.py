"""Inputs that wait in the queue of a group's driver."""

from __future__ import annotations

from dataclasses import dataclass, field

import trio

from shallotmux.replication import Envelope
from shallotmux.transport import ForwardAnswer, Refusal


@dataclass(slots=True)
class Proposal:
    """A command that waits to be committed.

    :param answer: result of the command; valid once ``done`` is set.
    """

    payload: bytes
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

"""Handling of orders by an engine stand-in."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import trio

STATUS_OK = 200
STATUS_FENCED = 412


@dataclass(frozen=True, slots=True)
class ReceivedOrder:
    """An order that an engine received, recorded for assertions.

    :param source: address of the sender.
    :param fencing_token: term of the sender and sequence number of the order.
    :param content: kind of the order and its sorted fields.
    :param applied: whether the engine carried it out.
    """

    time_s: float
    source: str
    order_id: str
    fencing_token: tuple[int, int]
    content: tuple[str, str]
    applied: bool


@dataclass(slots=True)
class OrderReceiver:
    """Applies orders, with or without a check of the fencing token.

    :param lose_answers: number of upcoming orders that are applied but not answered.
    :param role_change_s: seconds for which a role change makes the engine unavailable.
    :param highest_fencing_token: largest fencing token received so far.
    """

    checks_fencing: bool = True
    lose_answers: int = 0
    role_change_s: float = 0.0
    role: str = 'mixed'
    unavailable_until_s: float = 0.0
    highest_fencing_token: tuple[int, int] = (0, 0)
    history: list[ReceivedOrder] = field(default_factory=list)

    def receive(self, source: str, body: dict[str, Any]) -> int:
        """Apply an order and return the HTTP status of the answer.

        :raises ConnectionResetError: if the answer is lost.
        """
        fencing_token = (body['term'], body['sequence'])
        content = (body['kind'], str(sorted(body['content'].items())))
        is_stale = self.checks_fencing and fencing_token < self.highest_fencing_token
        is_duplicate = any(
            each.order_id == body['order_id'] and each.applied for each in self.history
        )
        # An engine that ignores fencing applies every order, duplicates included.
        applied = not is_stale and not (is_duplicate and self.checks_fencing)
        self.history.append(
            ReceivedOrder(
                trio.current_time(), source, body['order_id'], fencing_token, content, applied
            )
        )
        if is_stale:
            return STATUS_FENCED
        self.highest_fencing_token = max(self.highest_fencing_token, fencing_token)
        if applied and body['kind'] == 'role':
            self.role = body['content']['role']
            self.unavailable_until_s = trio.current_time() + self.role_change_s
        if self.lose_answers:
            self.lose_answers -= 1
            raise ConnectionResetError('answer lost after the order was applied')
        return STATUS_OK

    def is_changing(self) -> bool:
        """Return whether a role change makes the engine unavailable at present."""
        return trio.current_time() < self.unavailable_until_s

"""The part of an engine stand-in that takes orders."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import trio

STATUS_OK = 200
STATUS_FENCED = 412


@dataclass(frozen=True, slots=True)
class ReceivedOrder:
    """An order that an engine received, as evidence for checks.

    :param source: address of the sender.
    :param applied: whether the engine acted on it for the first time.
    """

    time_s: float
    source: str
    order_id: str
    fencing: tuple[int, int]
    content: tuple[str, str]
    applied: bool


@dataclass(slots=True)
class OrderReceiver:
    """Takes orders, with or without a check of the fencing number.

    :param lose_answers: number of coming orders that are applied and not answered.
    :param role_change_s: seconds for which a role change removes the engine.
    """

    checks_fencing: bool = True
    lose_answers: int = 0
    role_change_s: float = 0.0
    role: str = 'mixed'
    busy_until_s: float = 0.0
    highest: tuple[int, int] = (0, 0)
    history: list[ReceivedOrder] = field(default_factory=list)

    def receive(self, source: str, body: dict[str, Any]) -> int:
        """Take an order and return the status of the answer.

        :raises ConnectionResetError: if the answer is lost.
        """
        fencing = (body['term'], body['sequence'])
        content = (body['kind'], str(sorted(body['content'].items())))
        stale = self.checks_fencing and fencing < self.highest
        known = any(each.order_id == body['order_id'] and each.applied for each in self.history)
        # An engine that ignores fencing acts on whatever it receives, repeats included.
        applied = not stale and not (known and self.checks_fencing)
        self.history.append(
            ReceivedOrder(trio.current_time(), source, body['order_id'], fencing, content, applied)
        )
        if stale:
            return STATUS_FENCED
        self.highest = max(self.highest, fencing)
        if applied and body['kind'] == 'role':
            self.role = body['content']['role']
            self.busy_until_s = trio.current_time() + self.role_change_s
        if self.lose_answers:
            self.lose_answers -= 1
            raise ConnectionResetError('the answer is lost')
        return STATUS_OK

    def is_changing(self) -> bool:
        """Tell whether a role change has removed the engine."""
        return trio.current_time() < self.busy_until_s

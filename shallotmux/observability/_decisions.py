"""Log decisions and keep the recent ones for operators."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import Any

from eliot import log_message

from shallotmux.observability._metrics import Metrics

#: Default number of decisions kept for ``shallotmux explain``.
MAX_DECISIONS = 10_000

#: Number of distinct reasons that have a label value of their own.
MAX_REASON_LABELS = 32


@dataclass(frozen=True, slots=True)
class DecisionRecord:
    """A decision, and the figures it is based on.

    :param kind: ``routing``, ``role``, ``spend`` or ``placement``.
    :param subject: request, endpoint or zone that the decision is about.
    :param time_s: time of the decision on trio's clock.
    """

    kind: str
    subject: str
    outcome: str
    reason: str
    figures: dict[str, Any]
    time_s: float


class DecisionLog:
    """Writes one log line for each decision, and keeps the recent ones in memory."""

    def __init__(
        self, instance: str, max_records: int = MAX_DECISIONS, metrics: Metrics | None = None
    ) -> None:
        self._instance = instance
        self._metrics = metrics
        self._reasons: set[str] = set()
        self._records: deque[DecisionRecord] = deque(maxlen=max_records)

    def record(self, record: DecisionRecord) -> None:
        """Log a decision, and store it among the recent ones."""
        self._records.append(record)
        if self._metrics is not None and record.kind == 'routing':
            self._metrics.routing_decisions.labels(self._reason_label(record.reason)).inc()
        log_message(
            message_type=f'shallotmux:decision:{record.kind}',
            instance=self._instance,
            subject=record.subject,
            outcome=record.outcome,
            reason=record.reason,
            **record.figures,
        )

    def find(self, subject: str) -> tuple[DecisionRecord, ...]:
        """Return the recent decisions about a subject, oldest first."""
        return tuple(record for record in self._records if record.subject == subject)

    def recent(self, limit: int) -> tuple[DecisionRecord, ...]:
        """Return the latest decisions, oldest first."""
        return tuple(self._records)[-limit:]

    def _reason_label(self, reason: str) -> str:
        """Return the label value of a reason.

        Reasons can contain figures, so the number of label values is bounded.
        """
        if reason not in self._reasons and len(self._reasons) >= MAX_REASON_LABELS:
            return 'other'
        self._reasons.add(reason)
        return reason

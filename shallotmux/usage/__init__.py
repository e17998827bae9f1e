"""Usage accounting of customers: counting, reporting and reconciliation."""

from __future__ import annotations

from shallotmux.usage._counter import UsageCounter
from shallotmux.usage._reconciliation import Discrepancy, reconcile
from shallotmux.usage._reporter import (
    ReporterDependencies,
    UsageReporter,
    build_report,
    encode_report,
    report_id,
)

__all__ = (
    'Discrepancy',
    'ReporterDependencies',
    'UsageCounter',
    'UsageReporter',
    'build_report',
    'encode_report',
    'reconcile',
    'report_id',
)

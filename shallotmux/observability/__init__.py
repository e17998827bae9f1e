"""Logs, metrics and decision records."""

from __future__ import annotations

from shallotmux.observability._app import MonitoringApp, Readiness
from shallotmux.observability._decisions import DecisionLog, DecisionRecord
from shallotmux.observability._logs import LogWriter, write_logs
from shallotmux.observability._metering import MeteredApp, StreamMeter, label_request
from shallotmux.observability._metrics import Metrics

__all__ = (
    'DecisionLog',
    'DecisionRecord',
    'LogWriter',
    'MeteredApp',
    'Metrics',
    'MonitoringApp',
    'Readiness',
    'StreamMeter',
    'label_request',
    'write_logs',
)

"""Logs, metrics and decision records."""

from __future__ import annotations

from shallotmux.observability._decisions import DecisionLog, DecisionRecord

__all__ = ('DecisionLog', 'DecisionRecord')

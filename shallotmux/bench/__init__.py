"""Benchmark of relayed calls through an instance against direct calls, over loopback."""

from __future__ import annotations

from shallotmux.bench._results import BenchResults, Spread, summarize
from shallotmux.bench._run import BenchSize, run_bench

__all__ = ('BenchResults', 'BenchSize', 'Spread', 'run_bench', 'summarize')

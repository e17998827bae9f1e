"""Benchmark of the relay: an instance against the direct call, over loopback."""

from __future__ import annotations

from shallotmux.bench._figures import Figures, Spread, spread_of
from shallotmux.bench._run import BenchSize, run_bench

__all__ = ('BenchSize', 'Figures', 'Spread', 'run_bench', 'spread_of')

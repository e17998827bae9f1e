"""Demonstration of three zones of instances with stand-in endpoints."""

from __future__ import annotations

from shallotmux.demo._fleet import DemoFleet, DemoZone
from shallotmux.demo._load import LoadPlan, run_load
from shallotmux.demo._run import DemoReport, run_demo

__all__ = ('DemoFleet', 'DemoReport', 'DemoZone', 'LoadPlan', 'run_demo', 'run_load')

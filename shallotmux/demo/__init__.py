"""Demonstration with stand-in back ends."""

from __future__ import annotations

from shallotmux.demo._run import run_demo

__all__ = ('run_demo',)

"""Command-line tool ``shallotmux`` for operators."""

from __future__ import annotations

from shallotmux.cli._main import main

__all__ = ('main',)

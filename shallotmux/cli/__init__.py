"""The operators' command-line tool ``shallotmux``."""

from __future__ import annotations

from shallotmux.cli._main import main

__all__ = ('main',)

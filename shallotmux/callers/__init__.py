"""The border to callers."""

from __future__ import annotations

from shallotmux.callers._app import CallerApp, CallerTools

__all__ = ('CallerApp', 'CallerTools')

"""HTTP interface for callers."""

from __future__ import annotations

from shallotmux.callers._app import CallerApp, CallerDependencies

__all__ = ('CallerApp', 'CallerDependencies')

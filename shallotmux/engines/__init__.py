"""Clients of engines and plain services."""

from __future__ import annotations

from shallotmux.engines._client import EngineClient, EngineRun, LoadReport

__all__ = ('EngineClient', 'EngineRun', 'LoadReport')

"""The border to operators."""

from __future__ import annotations

from shallotmux.operators._app import OperatorApp, OperatorTools

__all__ = ('OperatorApp', 'OperatorTools')

"""The daemon ``shallotmuxd``."""

from __future__ import annotations

from shallotmux.daemon._instance import Addresses, DaemonInstance
from shallotmux.daemon._main import main

__all__ = ('Addresses', 'DaemonInstance', 'main')

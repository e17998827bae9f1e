"""Explore a simulated replication group with ``python -m shallotmux.checking``."""

from __future__ import annotations

from shallotmux.checking._main import main

main()

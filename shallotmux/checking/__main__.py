"""Run the explorer with ``python -m shallotmux.checking``."""

from __future__ import annotations

from shallotmux.checking._main import main

main()

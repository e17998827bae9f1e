"""Run the tool with ``python -m shallotmux.cli``."""

from __future__ import annotations

from shallotmux.cli import main

main()

"""Entry point of ``python -m shallotmux.cli``."""

from __future__ import annotations

from shallotmux.cli import main

main()

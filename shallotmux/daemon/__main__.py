"""Run the daemon with ``python -m shallotmux.daemon``."""

from __future__ import annotations

from shallotmux.daemon import main

main()

"""Run the checks with ``python -m shallotmux.checking.processes``."""

from __future__ import annotations

from shallotmux.checking.processes._main import main

main()

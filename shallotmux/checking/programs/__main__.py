"""Run the soak with ``python -m shallotmux.checking.programs``."""

from __future__ import annotations

from shallotmux.checking.programs._main import main

main()

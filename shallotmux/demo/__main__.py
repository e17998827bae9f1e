"""Run the demonstration with ``python -m shallotmux.demo``."""

from __future__ import annotations

import sys

import trio
from eliot import to_file

from shallotmux.demo import run_demo

to_file(sys.stdout)
trio.run(run_demo)

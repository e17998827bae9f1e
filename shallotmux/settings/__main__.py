"""Print the configuration reference with ``python -m shallotmux.settings``."""

from __future__ import annotations

import sys

from shallotmux.settings._reference import render_reference

sys.stdout.write(render_reference())

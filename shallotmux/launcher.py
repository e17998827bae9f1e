"""Run the program of an instance with ``python -m shallotmux.launcher``.

The import of a program takes most of its start-up time. A reload signal in that time would end the
process by default, so it is ignored first; the settings are read later.
"""

from __future__ import annotations

import signal
import sys

__all__ = ('main',)


def main() -> int:
    """Run until SIGTERM or SIGINT, and return the exit code: 2 for invalid settings."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from shallotmux.platform.__main__ import main as run_program  # noqa: PLC0415

    return run_program()


if __name__ == '__main__':
    sys.exit(main())

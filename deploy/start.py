"""Start the program of an instance, which its settings select.

A reload signal ends a process until it is ignored. That is the first thing done here, before the
package is imported; ``-S`` and a script in place of a module keep the time before it short.
"""

import _signal  # The public module takes milliseconds to import.

_signal.signal(_signal.SIGHUP, _signal.SIG_IGN)

import sys  # noqa: E402
from pathlib import Path  # noqa: E402

sys.path[0] = str(Path(__file__).resolve().parent.parent)

from shallotmux.launcher import main  # noqa: E402

sys.exit(main())

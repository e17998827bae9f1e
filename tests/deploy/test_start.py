"""Tests of the first moments of a process that the deploy file starts."""

from __future__ import annotations

import json
import os
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]

#: Stands in for the first module that the script imports: prints what has happened until then.
FIRST_IMPORT = """
import sys
modules = sorted(sys.modules)
with open('/proc/self/status', encoding='ascii') as file:
    ignored = next(line for line in file if line.startswith('SigIgn'))
print(__import__('json').dumps([modules, ignored.split()[1]]))
sys.stdout.flush()
__import__('os')._exit(0)
"""

#: Modules that may be imported before the signal is ignored, beside those of a bare interpreter.
ALLOWED = {'pathlib'}


def run_python(*words: str, path: Path | None = None) -> str:
    environment = {'PATH': os.environ['PATH'], 'PYTHONPATH': str(path or '')}
    completed = subprocess.run(
        [sys.executable, *words],
        cwd=ROOT,
        env=environment,
        capture_output=True,
        text=True,
        check=True,
        timeout=60,
    )
    return completed.stdout


@pytest.mark.parametrize('role', ('entry', 'control'))
def test_reload_signal_is_ignored_before_anything_is_imported(tmp_path: Path, role: str) -> None:
    """Guards against a SIGHUP that ends a process in the first moments of its start.

    Nothing but the interpreter itself may run before: not ``site``, and not the search for a module.
    """
    roles = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text(encoding='utf-8'))['roles']
    program, *words = roles[role]['run'].split()
    assert program == 'python3'
    (tmp_path / 'pathlib.py').write_text(FIRST_IMPORT, encoding='ascii')
    modules, ignored = json.loads(run_python(*words, path=tmp_path))
    bare = json.loads(
        run_python('-S', '-c', 'import sys; print(list(sys.modules))').replace("'", '"')
    )
    assert set(modules) <= set(bare) | ALLOWED
    assert int(ignored, 16) & 1

"""Take each guard of an invariant out, and show that its test fails.

Works on a copy of the tree in a temporary folder: ``python -m tests.guards``.
"""

from __future__ import annotations

import shutil
import subprocess  # noqa: S404
import sys
import tempfile
from pathlib import Path

from tests.guards.catalogue import GUARDS, Guard
from tests.guards.forwarded import FORWARDING_GUARDS

ROOT = Path(__file__).resolve().parents[2]
COPIED = ('shallotmux', 'tests', 'examples', 'docs', 'pyproject.toml', 'Makefile')
TEST_TIMEOUT_S = 120


def run_tests(folder: Path, guard: Guard) -> tuple[int, str]:
    """Run the tests of a guard and return pytest's exit code and the line that explains it."""
    command = (sys.executable, '-m', 'pytest', '-x', *guard.tests)
    try:
        done = subprocess.run(  # noqa: S603
            command, cwd=folder, capture_output=True, text=True, timeout=TEST_TIMEOUT_S, check=False
        )
    except subprocess.TimeoutExpired:
        return 1, f'no end within {TEST_TIMEOUT_S} s'
    lines = [line.strip(' |') for line in done.stdout.splitlines()]
    causes = [line for line in lines if line.startswith(('E ', 'AssertionError', 'Failed'))]
    return done.returncode, causes[0] if causes else lines[-1]


def check_guard(folder: Path, guard: Guard) -> bool:
    """Take a guard out and return whether its tests notice."""
    path = folder / guard.path
    source = path.read_text(encoding='utf-8')
    if source.count(guard.code) != 1:
        sys.stdout.write(f'{guard.invariant}: the guard is not in {guard.path}\n')
        return False
    path.write_text(source.replace(guard.code, guard.without), encoding='utf-8')
    try:
        code, cause = run_tests(folder, guard)
    finally:
        path.write_text(source, encoding='utf-8')
    noticed = code == 1
    verdict = 'noticed' if noticed else 'NOT NOTICED'
    sys.stdout.write(f'| {guard.invariant} | {guard.tests[-1]} | {verdict}: {cause[:120]} |\n')
    sys.stdout.flush()
    return noticed


def main() -> int:
    """Check all guards, or those named on the command line."""
    chosen = [
        each
        for each in (*GUARDS, *FORWARDING_GUARDS)
        if not sys.argv[1:] or each.invariant in sys.argv[1:]
    ]
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        for each in COPIED:
            source = ROOT / each
            if source.is_dir():
                shutil.copytree(source, folder / each)
            elif source.exists():
                shutil.copy(source, folder / each)
        results = [check_guard(folder, guard) for guard in chosen]
    return 0 if all(results) else 1


if __name__ == '__main__':
    sys.exit(main())

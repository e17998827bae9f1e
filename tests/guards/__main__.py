"""Mutation tests: remove each guard of an invariant and check that its tests fail.

Runs on a copy of the tree in a temporary folder: ``python -m tests.guards``.
"""

from __future__ import annotations

import shutil
import subprocess  # noqa: S404
import sys
import tempfile
from pathlib import Path

from tests.guards.attempts import ATTEMPT_GUARDS
from tests.guards.bounds import BOUND_GUARDS
from tests.guards.catalogue import GUARDS, Guard
from tests.guards.crashes import CRASH_GUARDS
from tests.guards.decoding import DECODING_GUARDS
from tests.guards.disks import DISK_GUARDS
from tests.guards.forwarded import FORWARDING_GUARDS
from tests.guards.peers import PEER_GUARDS
from tests.guards.planned import PLANNED_GUARDS
from tests.guards.quotas import QUOTA_GUARDS
from tests.guards.ratelimits import LIMIT_GUARDS
from tests.guards.reach import REACH_GUARDS
from tests.guards.sizes import SIZE_GUARDS
from tests.guards.streams import STREAM_GUARDS, VERSION_GUARDS
from tests.guards.wire import WIRE_GUARDS

ROOT = Path(__file__).resolve().parents[2]
COPIED_PATHS = ('shallotmux', 'deploy', 'tests', 'examples', 'docs', 'pyproject.toml', 'Makefile')
TEST_TIMEOUT_S = 120

ALL_GUARDS = (
    *GUARDS,
    *FORWARDING_GUARDS,
    *ATTEMPT_GUARDS,
    *BOUND_GUARDS,
    *CRASH_GUARDS,
    *DECODING_GUARDS,
    *DISK_GUARDS,
    *LIMIT_GUARDS,
    *QUOTA_GUARDS,
    *PEER_GUARDS,
    *PLANNED_GUARDS,
    *REACH_GUARDS,
    *SIZE_GUARDS,
    *STREAM_GUARDS,
    *VERSION_GUARDS,
    *WIRE_GUARDS,
)


def run_tests(folder: Path, guard: Guard) -> tuple[int, str]:
    """Run the tests of a guard; return the exit code of pytest and the line with the cause."""
    command = (sys.executable, '-m', 'pytest', '-x', *guard.tests)
    try:
        completed = subprocess.run(  # noqa: S603
            command, cwd=folder, capture_output=True, text=True, timeout=TEST_TIMEOUT_S, check=False
        )
    except subprocess.TimeoutExpired:
        return 1, f'tests did not finish within {TEST_TIMEOUT_S} s'
    lines = [line.strip(' |') for line in completed.stdout.splitlines()]
    causes = [line for line in lines if line.startswith(('E ', 'AssertionError', 'Failed'))]
    # A test that is ended by its timeout leaves no line.
    return completed.returncode, [*causes, *reversed(lines), 'no output'][0]


def check_guard(folder: Path, guard: Guard) -> bool:
    """Remove a guard from the copy and return whether its tests fail."""
    path = folder / guard.path
    source = path.read_text(encoding='utf-8')
    if source.count(guard.code) != 1:
        sys.stdout.write(f'{guard.invariant}: guard code not found exactly once in {guard.path}\n')
        return False
    path.write_text(source.replace(guard.code, guard.replacement), encoding='utf-8')
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
    """Check all guards, or those whose invariants are given as arguments."""
    selected = [each for each in ALL_GUARDS if not sys.argv[1:] or each.invariant in sys.argv[1:]]
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        for each in COPIED_PATHS:
            source = ROOT / each
            if source.is_dir():
                shutil.copytree(source, folder / each)
            elif source.exists():
                shutil.copy(source, folder / each)
        results = [check_guard(folder, guard) for guard in selected]
    return 0 if all(results) else 1


if __name__ == '__main__':
    sys.exit(main())

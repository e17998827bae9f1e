"""Install the run-time libraries for this machine and interpreter into ``target/deps``.

A folder is taken for a finished installation only if it holds a stamp that names the requirements,
the interpreter and the kind of machine it was made for. Each build installs into a folder of its own
and writes the stamp last. The folder is then put in place in one step, so that builds may run side by
side, and running programs can import from ``target/deps`` at any moment.
"""

from __future__ import annotations

import contextlib
import ctypes
import errno
import hashlib
import os
import platform
import shutil
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
STAMP_NAME = 'built-for'

#: Age at which a folder that another build left is removed. A build takes at most 15 minutes.
LEFTOVER_AGE_S = 3600

#: Arguments of ``renameat2``: paths relative to the working folder, and exchange of both.
AT_FDCWD, RENAME_EXCHANGE = -100, 2

#: Installs a requirements file into a folder.
Install = Callable[[Path, Path], None]


def describe_build(requirements: Path) -> str:
    """Return what an installation depends on."""
    digest = hashlib.sha256(requirements.read_bytes()).hexdigest()
    version = platform.python_version()
    return f'{sys.implementation.cache_tag} {version} {platform.machine()} {digest}\n'


def is_built(folder: Path, description: str) -> bool:
    """Return whether a folder holds a finished installation."""
    stamp = folder / STAMP_NAME
    return stamp.is_file() and stamp.read_text(encoding='ascii') == description


def build(requirements: Path, folder: Path, install: Install) -> bool:
    """Install the requirements unless that is done already; returns whether it was necessary."""
    description = describe_build(requirements)
    if is_built(folder, description):
        return False
    folder.parent.mkdir(parents=True, exist_ok=True)
    _remove_leftovers(folder)
    temporary = Path(tempfile.mkdtemp(prefix=_leftover_prefix(folder), dir=folder.parent))
    temporary.chmod(0o755)
    try:
        install(requirements, temporary)
    except BaseException:
        shutil.rmtree(temporary, ignore_errors=True)
        raise
    (temporary / STAMP_NAME).write_text(description, encoding='ascii')
    _put_in_place(temporary, folder, description)
    return True


def _put_in_place(temporary: Path, folder: Path, description: str) -> None:
    """Rename a finished installation, or exchange it for the folder that is there.

    A replaced folder stays beside it, since a program may be reading it, until a later build.
    """
    try:
        temporary.rename(folder)
    except OSError as error:
        if error.errno not in {errno.ENOTEMPTY, errno.EEXIST}:
            raise
    else:
        return
    if is_built(folder, description):
        shutil.rmtree(temporary, ignore_errors=True)
        return
    # The replaced folder counts as old from now on. A build beside this one may look at it right after
    # the exchange.
    os.utime(folder)
    _exchange(temporary, folder)


def _exchange(one: Path, other: Path) -> None:
    """Exchange two folders in one step, or in three where the system cannot do that."""
    rename = getattr(ctypes.CDLL(None, use_errno=True), 'renameat2', None)
    if rename is not None:
        paths = os.fsencode(one), os.fsencode(other)
        if not rename(AT_FDCWD, paths[0], AT_FDCWD, paths[1], RENAME_EXCHANGE):
            return
    aside = one.with_name(f'{one.name}-replaced')
    other.rename(aside)
    one.rename(other)
    aside.rename(one)


def _remove_leftovers(folder: Path) -> None:
    """Remove what builds left that were broken off, and folders that were replaced."""
    for each in folder.parent.glob(f'{_leftover_prefix(folder)}*'):
        with contextlib.suppress(FileNotFoundError):
            if time.time() - each.stat().st_mtime > LEFTOVER_AGE_S:
                shutil.rmtree(each, ignore_errors=True)


def _leftover_prefix(folder: Path) -> str:
    return f'{folder.name}.new-'


def install_with_pip(requirements: Path, folder: Path) -> None:
    """Install a requirements file with pip."""
    options = ('--quiet', '--disable-pip-version-check', '--target', str(folder))
    # A folder on the path of this process would be taken for installed.
    environment = {name: text for name, text in os.environ.items() if name != 'PYTHONPATH'}
    subprocess.run(
        [sys.executable, '-m', 'pip', 'install', *options, '-r', str(requirements)],
        check=True,
        env=environment,
    )


if __name__ == '__main__':
    build(ROOT / 'deploy' / 'requirements.txt', ROOT / 'target' / 'deps', install_with_pip)

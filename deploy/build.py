"""Install the run-time libraries for this machine and interpreter into ``target/deps``.

A folder is taken for a finished installation only if it holds a stamp that names the requirements,
the interpreter and the kind of machine it was made for. The stamp is written last, and the folder is
renamed into place as a whole, so that an installation that was broken off is never used.
"""

from __future__ import annotations

import hashlib
import os
import platform
import shutil
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
STAMP_NAME = 'built-for'

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
    temporary = folder.with_name(f'{folder.name}.new')
    shutil.rmtree(temporary, ignore_errors=True)
    temporary.mkdir(parents=True)
    install(requirements, temporary)
    (temporary / STAMP_NAME).write_text(description, encoding='ascii')
    shutil.rmtree(folder, ignore_errors=True)
    temporary.rename(folder)
    return True


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

"""Tests of the installation of the run-time libraries."""

from __future__ import annotations

import importlib.util
import os
import platform
import threading
import time
from pathlib import Path
from types import ModuleType

import pytest

SCRIPT = Path(__file__).parents[2] / 'deploy' / 'build.py'


def load_script() -> ModuleType:
    spec = importlib.util.spec_from_file_location('deploy_build', SCRIPT)
    assert spec is not None
    assert spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


class Installer:
    """Writes one file in place of an installation, or fails half-way."""

    def __init__(self) -> None:
        self.runs = 0
        self.fails = False

    def __call__(self, requirements: Path, folder: Path) -> None:
        """Install."""
        self.runs += 1
        (folder / 'library.py').write_text('', encoding='ascii')
        if self.fails:
            raise OSError('broken off')


@pytest.fixture
def requirements(tmp_path: Path) -> Path:
    """Return a requirements file."""
    path = tmp_path / 'requirements.txt'
    path.write_text('library==1\n', encoding='ascii')
    return path


def test_finished_installation_is_kept(tmp_path: Path, requirements: Path) -> None:
    """Guards against an installation on each start of a build."""
    script, install, folder = load_script(), Installer(), tmp_path / 'deps'
    assert script.build(requirements, folder, install)
    assert not script.build(requirements, folder, install)
    assert install.runs == 1


def test_empty_folder_is_no_installation(tmp_path: Path, requirements: Path) -> None:
    """Guards against programs that can't start since a folder without libraries passed as built."""
    script, install, folder = load_script(), Installer(), tmp_path / 'deps'
    folder.mkdir()
    assert script.build(requirements, folder, install)
    assert (folder / 'library.py').is_file()


def test_installation_that_was_broken_off_is_not_used(tmp_path: Path, requirements: Path) -> None:
    """Guards against a folder that holds some of the libraries and passes as built."""
    script, install, folder = load_script(), Installer(), tmp_path / 'deps'
    install.fails = True
    with pytest.raises(OSError, match='broken off'):
        script.build(requirements, folder, install)
    assert not folder.exists()
    install.fails = False
    assert script.build(requirements, folder, install)


def test_builds_side_by_side_do_not_disturb_each_other(tmp_path: Path, requirements: Path) -> None:
    """Guards against a build that removes what another one is installing (FileNotFoundError)."""
    script, install, folder = load_script(), Installer(), tmp_path / 'deps'
    outer_runs: list[bool] = []

    def install_slowly(requirements: Path, temporary: Path) -> None:
        install(requirements, temporary)
        outer_runs.append(script.build(requirements, folder, install))

    assert script.build(requirements, folder, install_slowly)
    assert outer_runs == [True]
    assert (folder / 'library.py').is_file()
    assert not script.build(requirements, folder, install)
    assert {each.name for each in tmp_path.iterdir()} == {'deps', 'requirements.txt'}


def test_rebuild_never_takes_a_library_away(tmp_path: Path, requirements: Path) -> None:
    """Guards against a running program that imports a module late, while a build replaces the folder."""
    script, install, folder = load_script(), Installer(), tmp_path / 'deps'
    script.build(requirements, folder, install)
    missing: list[int] = []
    is_over = threading.Event()

    def watch() -> None:
        while not is_over.is_set():
            missing.append(not (folder / 'library.py').is_file())

    watcher = threading.Thread(target=watch)
    watcher.start()
    for number in range(200):
        requirements.write_text(f'library=={number + 2}\n', encoding='ascii')
        script.build(requirements, folder, install)
    is_over.set()
    watcher.join()
    assert not sum(missing)


def test_what_old_builds_left_is_removed(tmp_path: Path, requirements: Path) -> None:
    """Guards against replaced folders that pile up, and against the removal of what may be in use."""
    script, install, folder = load_script(), Installer(), tmp_path / 'deps'
    old, recent = tmp_path / 'deps.new-old', tmp_path / 'deps.new-recent'
    for each in (old, recent):
        each.mkdir()
    os.utime(old, (0, 0))
    script.build(requirements, folder, install)
    assert not old.exists()
    assert recent.exists()


def test_installation_can_be_read_by_others(tmp_path: Path, requirements: Path) -> None:
    """Guards against a folder that only the user who ran the build can read."""
    script, folder = load_script(), tmp_path / 'deps'
    script.build(requirements, folder, Installer())
    assert folder.stat().st_mode & 0o777 == 0o755


@pytest.mark.parametrize('change', ('requirements', 'machine', 'python'))
def test_installation_for_something_else_is_replaced(
    tmp_path: Path, requirements: Path, monkeypatch: pytest.MonkeyPatch, change: str
) -> None:
    """Guards against libraries of another kind of machine, interpreter or release."""
    script, install, folder = load_script(), Installer(), tmp_path / 'deps'
    script.build(requirements, folder, install)
    (folder / 'outdated.py').write_text('', encoding='ascii')
    match change:
        case 'requirements':
            requirements.write_text('library==2\n', encoding='ascii')
        case 'machine':
            monkeypatch.setattr(platform, 'machine', lambda: 'other')
        case _:
            monkeypatch.setattr(platform, 'python_version', lambda: '3.11.99')
    assert script.build(requirements, folder, install)
    assert not (folder / 'outdated.py').exists()


def test_replaced_folder_is_recent_from_the_first_moment(
    tmp_path: Path, requirements: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a build beside that removes the replaced folder, as it was built long ago."""
    script, install, folder = load_script(), Installer(), tmp_path / 'deps'
    script.build(requirements, folder, install)
    os.utime(folder, (0, 0))
    exchange = script._exchange
    ages: list[float] = []

    def exchange_and_look(one: Path, other: Path) -> None:
        exchange(one, other)
        ages.append(time.time() - one.stat().st_mtime)

    monkeypatch.setattr(script, '_exchange', exchange_and_look)
    requirements.write_text('library==9\n', encoding='ascii')
    script.build(requirements, folder, install)
    assert len(ages) == 1
    assert ages[0] < script.LEFTOVER_AGE_S

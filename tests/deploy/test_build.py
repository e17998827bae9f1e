"""Tests of the installation of the run-time libraries."""

from __future__ import annotations

import importlib.util
import platform
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

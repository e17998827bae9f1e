"""Read settings from JSON with comments."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import json5
from pydantic import ValidationError

from shallotmux.errors import SettingsError
from shallotmux.settings._models import Settings


def load_settings(path: Path) -> Settings:
    """Read and validate a settings file.

    :raises SettingsError: naming the file, the path in it, and what is allowed.
    """
    try:
        raw: Any = json5.loads(path.read_text(encoding='utf-8'))
    except OSError as error:
        raise SettingsError(f'{path}: {error.strerror}', step='settings') from error
    except ValueError as error:
        raise SettingsError(f'{path}: not valid JSON: {error}', step='settings') from error
    try:
        return Settings.model_validate(raw)
    except ValidationError as error:
        problems = '\n'.join(_describe(path, each) for each in error.errors(include_url=False))
        raise SettingsError(problems, step='settings') from error


def _describe(path: Path, problem: Any) -> str:
    place = '.'.join(str(part) for part in problem['loc'])
    secret = place.startswith('secrets')
    shown = '(hidden)' if secret else repr(problem['input'])
    return f'{path}: {place}: {problem["msg"]}; found {shown}'

"""Load settings from JSON with comments."""

from __future__ import annotations

from difflib import get_close_matches
from pathlib import Path
from typing import Any

import json5
from pydantic import BaseModel, ValidationError

from shallotmux.errors import SettingsError
from shallotmux.settings._models import FOLDER_KEY, Settings

#: Types of validation errors whose input is not shown: it is absent, a complete section, or the
#: value of a misspelt key, which may be a secret.
_HIDDEN_INPUT_TYPES = frozenset(('missing', 'extra_forbidden', 'value_error'))


def load_settings(path: Path) -> Settings:
    """Load and validate a settings file.

    :raises SettingsError: naming the file, the path of the key, and the allowed values.
    """
    raw = read_json(path)
    try:
        return Settings.model_validate(raw, context={FOLDER_KEY: path.parent})
    except ValidationError as error:
        problems = '\n'.join(_describe(path, each) for each in error.errors(include_url=False))
        raise SettingsError(problems, step='settings') from error


def read_json(path: Path) -> Any:
    """Read a file of JSON with comments.

    :raises SettingsError: naming the file.
    """
    try:
        return json5.loads(path.read_text(encoding='utf-8'))
    except OSError as error:
        raise SettingsError(f'{path}: {error.strerror}', step='settings') from error
    except ValueError as error:
        raise SettingsError(f'{path}: not valid JSON: {error}', step='settings') from error


def _describe(path: Path, problem: Any) -> str:
    location = '.'.join(str(part) for part in problem['loc'])
    message = f'{path}: {location or "(top level)"}: {problem["msg"]}'
    if problem['type'] == 'extra_forbidden':
        return f'{path}: {location}: unknown key; {_suggest_key(problem["loc"])}'
    if problem['type'] in _HIDDEN_INPUT_TYPES:
        return message
    if problem['loc'][:1] == ('secrets',):
        return f'{message}; found (hidden)'
    raw_value = problem['input']
    displayed = type(raw_value).__name__ if isinstance(raw_value, (dict, list)) else repr(raw_value)
    return f'{message}; found {displayed}'


def _suggest_key(location: tuple[str | int, ...]) -> str:
    """Return the key most similar to an unknown one, or the keys that its section allows."""
    section: type[BaseModel] = Settings
    for part in location[:-1]:
        annotation = section.model_fields[str(part)].annotation
        if not isinstance(annotation, type) or not issubclass(annotation, BaseModel):
            break
        section = annotation
    known = sorted(section.model_fields)
    close = get_close_matches(str(location[-1]), known, n=1)
    if close:
        return f'did you mean {close[0]!r}?'
    return f'allowed are {", ".join(known)}'

"""Tests of loading the settings file."""

from __future__ import annotations

from pathlib import Path

import pytest
from click.testing import CliRunner

from shallotmux.daemon import main
from shallotmux.errors import SettingsError
from shallotmux.settings import load_settings

SECRETS = '"secrets": {"pepper": "0123456789abcdef", "operator_token": {"file": "token"}}'
INSTANCE = '"instance": {"name": "entry-1", "zone": "zone-a"}'


def write(folder: Path, text: str) -> Path:
    """Write a settings file and the token file that it names."""
    (folder / 'token').write_text('token-from-a-file\n')
    path = folder / 'settings.json'
    path.write_text(text)
    return path


def test_load_reads_comments_and_secret_file(tmp_path: Path) -> None:
    """Guards against a secret file that is not resolved relative to the settings file."""
    path = write(tmp_path, f'{{// entry\n{INSTANCE}, {SECRETS},}}')
    assert load_settings(path).secrets.operator_token == 'token-from-a-file'


@pytest.mark.parametrize(
    ('section', 'expected'),
    [
        ('"listners": {}', "listners: unknown key; did you mean 'listeners'?"),
        ('"limits": {"hedaer_bytes": 1}', "hedaer_bytes: unknown key; did you mean 'header_bytes'"),
        ('"limits": {"header_bytes": 5}', 'greater than or equal to 1024; found 5'),
        ('"listeners": {"callers": "host:1"}', 'listeners.callers: String should match'),
        ('"tls": {"callers": {"certificate": "a"}}', 'must be given together'),
        ('"operator_token": "very-secret-value"', 'operator_token: unknown key'),
    ],
)
def test_error_names_file_key_and_allowed_values(
    tmp_path: Path, section: str, expected: str
) -> None:
    """Guards against an error that lacks the file, the key or the allowed values."""
    path = write(tmp_path, f'{{{INSTANCE}, {SECRETS}, {section}}}')
    with pytest.raises(SettingsError) as caught:
        load_settings(path)
    assert str(path) in caught.value.message
    assert expected in caught.value.message
    assert 'very-secret' not in caught.value.message


@pytest.mark.parametrize('secrets', ['{"pepper": "short-one"}', '{"pepper": {"file": "absent"}}'])
def test_error_hides_secrets(tmp_path: Path, secrets: str) -> None:
    """Guards against a secret in an error about it or about another setting."""
    path = write(tmp_path, f'{{"secrets": {secrets}}}')
    with pytest.raises(SettingsError, match='instance: Field required') as caught:
        load_settings(path)
    assert 'short-one' not in caught.value.message


def test_check_exits_with_2_on_invalid_settings(tmp_path: Path) -> None:
    """Guards against a check that accepts an invalid file or rejects a valid one."""
    invalid = write(tmp_path, '{')
    assert CliRunner().invoke(main, ['--settings', str(invalid), '--check']).exit_code == 2
    valid = write(tmp_path, f'{{{INSTANCE}, {SECRETS}}}')
    assert CliRunner().invoke(main, ['--settings', str(valid), '--check']).exit_code == 0

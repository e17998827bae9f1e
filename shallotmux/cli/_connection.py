"""Where the tool connects to and with which credential."""

from __future__ import annotations

import ssl
from pathlib import Path

import click
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from shallotmux.errors import SettingsError
from shallotmux.http import HttpcoreClient
from shallotmux.settings import is_address, read_json

#: Seconds without a byte after which an answer counts as lost.
READ_TIMEOUT_S = 30.0


class Connection(BaseModel):
    """Addresses and credentials, from a profile file, the environment or options."""

    model_config = ConfigDict(extra='forbid', frozen=True)

    address: str = Field(default='', description='Operator listener of an instance.')
    token: str = Field(default='', description='Credential of the operator API.')
    token_file: str = Field(default='', description='File that holds the credential.')
    caller_address: str = Field(default='', description='Caller listener, for `complete`.')
    key: str = Field(default='', description='Caller key, for `complete`.')
    ca: str = Field(default='', description='PEM file of trusted certificates; implies TLS.')
    tls: bool = Field(default=False, description='Connect with TLS.')

    def credential(self) -> str:
        """Return the operator credential.

        :raises SettingsError: if there is none, or its file cannot be read.
        """
        if self.token or not self.token_file:
            if not self.token:
                raise SettingsError(
                    'no credential; use --token-file, SHALLOTMUX_TOKEN or a profile file'
                )
            return self.token
        try:
            return Path(self.token_file).read_text(encoding='utf-8').strip()
        except OSError as error:
            raise SettingsError(f'{self.token_file}: {error.strerror}') from error

    def open(self) -> HttpcoreClient:
        """Return an HTTP client.

        :raises SettingsError: if the trusted certificates cannot be read.
        """
        if not (self.ca or self.tls):
            return HttpcoreClient(READ_TIMEOUT_S)
        try:
            trusted = ssl.create_default_context(cafile=self.ca or None)
        except OSError as error:
            raise SettingsError(f'{self.ca}: cannot read certificates: {error}') from error
        return HttpcoreClient(READ_TIMEOUT_S, trusted)


def check_address(address: str, option: str) -> str:
    """Return an address.

    :raises SettingsError: if it is missing or not an IP address and port.
    """
    if not address:
        raise SettingsError(f'no address; use {option}, the environment or a profile file')
    if not is_address(address):
        raise SettingsError(f'{option}: {address!r} is not an IP address and port')
    return address


def default_profile() -> Path:
    """Return the profile file that is read when none is named."""
    return Path(click.get_app_dir('shallotmux')) / 'profile.json'


def read_connection(profile: Path | None, given: dict[str, str | bool | None]) -> Connection:
    """Return the profile with the options and environment variables that were given.

    :raises SettingsError: naming the file and the key that is wrong.
    """
    path = profile or default_profile()
    plain = read_json(path) if profile or path.exists() else {}
    if not isinstance(plain, dict):
        raise SettingsError(f'{path}: a JSON object is expected')
    chosen = {name: each for name, each in given.items() if each}
    if 'token' in chosen:
        plain.pop('token_file', None)
    if 'token_file' in chosen and 'token' not in chosen:
        plain.pop('token', None)
    try:
        return Connection.model_validate({**plain, **chosen})
    except ValidationError as error:
        first = error.errors(include_input=False, include_url=False)[0]
        place = '.'.join(str(part) for part in first['loc'])
        allowed = ', '.join(Connection.model_fields)
        raise SettingsError(f'{path}: {place}: {first["msg"]}; allowed are {allowed}') from error

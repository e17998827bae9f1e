"""Addresses and credentials with which the tool connects."""

from __future__ import annotations

import ssl
from pathlib import Path

import click
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from shallotmux.errors import SettingsError
from shallotmux.http import HttpcoreClient
from shallotmux.settings import is_address, read_json

#: Time without received data after which a response counts as lost, in seconds.
READ_TIMEOUT_S = 30.0


class Connection(BaseModel):
    """Addresses and credentials, from a profile file, the environment or options."""

    model_config = ConfigDict(extra='forbid', frozen=True)

    address: str = Field(default='', description='Operator listener of an instance.')
    token: str = Field(default='', description='Credential of the operator API.')
    token_file: str = Field(default='', description='File that contains the credential.')
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
            ssl_context = ssl.create_default_context(cafile=self.ca or None)
        except OSError as error:
            raise SettingsError(f'{self.ca}: cannot read certificates: {error}') from error
        return HttpcoreClient(READ_TIMEOUT_S, ssl_context)


def check_address(address: str, option: str) -> str:
    """Return the address if it is valid.

    :param option: command-line option named in error messages.
    :raises SettingsError: if the address is missing or not an IP address and port.
    """
    if not address:
        raise SettingsError(f'no address; use {option}, the environment or a profile file')
    if not is_address(address):
        raise SettingsError(f'{option}: {address!r} is not an IP address and port')
    return address


def default_profile() -> Path:
    """Return the path of the default profile file."""
    return Path(click.get_app_dir('shallotmux')) / 'profile.json'


def read_connection(profile: Path | None, options: dict[str, str | bool | None]) -> Connection:
    """Return the profile, overridden by options and environment variables.

    :param profile: profile file, or None for the default one if it exists.
    :raises SettingsError: if the profile is invalid; the message names the file and the key.
    """
    path = profile or default_profile()
    fields = read_json(path) if profile or path.exists() else {}
    if not isinstance(fields, dict):
        raise SettingsError(f'{path}: a JSON object is expected')
    overrides = {name: each for name, each in options.items() if each}
    if 'token' in overrides:
        fields.pop('token_file', None)
    if 'token_file' in overrides and 'token' not in overrides:
        fields.pop('token', None)
    try:
        return Connection.model_validate({**fields, **overrides})
    except ValidationError as error:
        first = error.errors(include_input=False, include_url=False)[0]
        field_path = '.'.join(str(part) for part in first['loc'])
        allowed = ', '.join(Connection.model_fields)
        raise SettingsError(
            f'{path}: {field_path}: {first["msg"]}; allowed are {allowed}'
        ) from error

"""Validated models of the settings file."""

from __future__ import annotations

import re
from pathlib import Path
from typing import Annotated, Any, Literal

from pydantic import BaseModel, BeforeValidator, ConfigDict, Field, ValidationInfo, model_validator

from shallotmux.settings._fleet import (
    GroupSettings,
    PeerSettings,
    PeerTlsSettings,
    check_fleet,
)

#: IP address and port; host names are not resolved.
ADDRESS_PATTERN = r'^(\[[0-9a-fA-F:]+\]|[0-9]{1,3}(\.[0-9]{1,3}){3}):[0-9]{1,5}$'

#: Key of the validation context that holds the folder of the settings file.
FOLDER_KEY = 'folder'

_SECRET_FILE_KEYS = frozenset(('file',))


def is_address(text: str) -> bool:
    """Return whether a text is an IP address and port."""
    return re.match(ADDRESS_PATTERN, text) is not None


def resolve_path(raw_value: str, info: ValidationInfo) -> Path:
    """Resolve a path in the settings file, relative to the folder of that file."""
    folder = (info.context or {}).get(FOLDER_KEY, Path())
    return Path(folder) / raw_value


def _read_secret(raw_value: Any, info: ValidationInfo) -> Any:
    """Return an inline secret, or the content of the file that ``{"file": path}`` names."""
    if not isinstance(raw_value, dict) or raw_value.keys() != _SECRET_FILE_KEYS:
        return raw_value
    path = resolve_path(str(raw_value['file']), info)
    try:
        return path.read_text(encoding='utf-8').strip()
    except OSError as error:
        raise ValueError(f'cannot read {path}: {error.strerror}') from error


def _resolve_file(raw_value: Any, info: ValidationInfo) -> Any:
    return (
        str(resolve_path(raw_value, info))
        if isinstance(raw_value, str) and raw_value
        else raw_value
    )


Address = Annotated[str, Field(pattern=ADDRESS_PATTERN)]
OptionalAddress = Annotated[str, Field(pattern=f'^$|{ADDRESS_PATTERN}')]
FilePath = Annotated[str, BeforeValidator(_resolve_file)]
Secret = Annotated[str, Field(min_length=16), BeforeValidator(_read_secret)]


class _StrictModel(BaseModel):
    """Rejects unknown keys, since a misspelt key would be ignored silently."""

    model_config = ConfigDict(extra='forbid', frozen=True)


class InstanceSettings(_StrictModel):
    """Identity and location of this instance."""

    name: str = Field(
        min_length=1,
        max_length=64,
        pattern=r'^[a-z0-9][a-z0-9-]*$',
        description='Name of the instance, unique in the fleet.',
    )
    zone: str = Field(min_length=1, max_length=64, description='Availability zone of the instance.')
    data_folder: FilePath = Field(
        default='', description='Folder for persistent state; empty on instances without a disk.'
    )


class ListenerSettings(_StrictModel):
    """Addresses that the daemon listens on; port 0 selects a free port."""

    callers: Address = Field(default='127.0.0.1:8080', description='Listener for callers.')
    operators: Address = Field(
        default='127.0.0.1:8081', description='Listener for the operator API.'
    )
    metrics: OptionalAddress = Field(
        default='',
        description='Listener for `/metrics`, `/healthz` and `/readyz`; empty to disable it.',
    )


class CertificateSettings(_StrictModel):
    """Certificate of one listener; both files are reloaded when they change."""

    certificate: FilePath = Field(default='', description='PEM file with the certificate chain.')
    private_key: FilePath = Field(default='', description='PEM file with the private key.')

    @model_validator(mode='after')
    def _check_pair(self) -> CertificateSettings:
        if bool(self.certificate) != bool(self.private_key):
            raise ValueError('certificate and private_key must be given together')
        return self


class TlsSettings(_StrictModel):
    """TLS of the listeners; a listener without a certificate serves plain HTTP."""

    callers: CertificateSettings = CertificateSettings()
    operators: CertificateSettings = CertificateSettings()


class SecretSettings(_StrictModel):
    """Secrets of the fleet, inline or as `{"file": "path"}`."""

    pepper: Secret = Field(
        description='Secret of the keyed hash under which caller keys are stored.'
    )
    operator_token: Secret = Field(description='Credential of the operator API.')


class OperatorSettings(_StrictModel):
    """Operator API."""

    body_bytes: int = Field(
        default=1_048_576, ge=1024, le=67_108_864, description='Maximum size of a request body.'
    )


class LimitSettings(_StrictModel):
    """Limits on what the instance stores or reads."""

    header_bytes: int = Field(
        default=32_768, ge=1024, le=1_048_576, description='Maximum size of the head of a request.'
    )
    decision_records: int = Field(
        default=10_000,
        ge=1,
        le=1_000_000,
        description='Number of recent decisions kept for `shallotmux explain`.',
    )


class TimeoutSettings(_StrictModel):
    """Timeouts and intervals of the instance."""

    keep_alive_s: float = Field(
        default=75.0,
        gt=0,
        le=3600,
        description='Idle time after which a keep-alive connection is closed.',
    )
    drain_s: float = Field(
        default=600.0,
        gt=0,
        le=86_400,
        description='Maximum time to wait for open requests at shutdown.',
    )
    ready_grace_s: float = Field(
        default=0.0,
        ge=0,
        le=600,
        description='Delay between failing readiness and closing the listeners at shutdown.',
    )
    certificate_check_s: float = Field(
        default=5.0, gt=0, le=3600, description='Interval at which certificate files are checked.'
    )


class LoggingSettings(_StrictModel):
    """Logging, as one JSON object per line."""

    destination: FilePath = Field(
        default='', description='File that log lines are appended to; empty for standard output.'
    )
    level: Literal['debug', 'info', 'warning', 'error'] = Field(
        default='info', description='Minimum level of messages that are written.'
    )
    sections: dict[str, Literal['debug', 'info', 'warning', 'error', 'off']] = Field(
        default_factory=dict,
        description='Minimum levels by section, such as `decision` or `decision:routing`.',
    )


class PlatformSettings(_StrictModel):
    """Platform from which endpoints are ordered and to which usage is reported."""

    address: OptionalAddress = Field(
        default='', description='Address of its API; empty without a platform.'
    )
    endpoint_limit: int = Field(
        default=0,
        ge=0,
        le=12_000,
        description='Maximum endpoints of a pool, including ordered ones; 0 disables ordering.',
    )


class Settings(_StrictModel):
    """Settings file of the daemon."""

    instance: InstanceSettings
    listeners: ListenerSettings = ListenerSettings()
    tls: TlsSettings = TlsSettings()
    secrets: SecretSettings
    operators: OperatorSettings = OperatorSettings()
    limits: LimitSettings = LimitSettings()
    timeouts: TimeoutSettings = TimeoutSettings()
    logging: LoggingSettings = LoggingSettings()
    platform: PlatformSettings = PlatformSettings()
    peers: tuple[PeerSettings, ...] = ()
    peer_tls: PeerTlsSettings | None = None
    groups: GroupSettings = GroupSettings()

    @model_validator(mode='after')
    def check_fleet(self) -> Settings:
        """Check that the peers, the groups and this instance are consistent."""
        check_fleet(self.instance.name, self.instance.zone, self.peers, self.groups, self.peer_tls)
        return self

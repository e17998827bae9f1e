"""Settings of the daemon."""

from __future__ import annotations

from shallotmux.settings._fleet import GroupSettings, PeerSettings, PeerTlsSettings
from shallotmux.settings._loader import load_settings, read_json
from shallotmux.settings._models import (
    CertificateSettings,
    InstanceSettings,
    LimitSettings,
    ListenerSettings,
    LoggingSettings,
    OperatorSettings,
    PlatformSettings,
    SecretSettings,
    Settings,
    TimeoutSettings,
    TlsSettings,
    is_address,
)

__all__ = (
    'CertificateSettings',
    'GroupSettings',
    'InstanceSettings',
    'LimitSettings',
    'ListenerSettings',
    'LoggingSettings',
    'OperatorSettings',
    'PlatformSettings',
    'PeerSettings',
    'PeerTlsSettings',
    'SecretSettings',
    'Settings',
    'TimeoutSettings',
    'TlsSettings',
    'is_address',
    'load_settings',
    'read_json',
)

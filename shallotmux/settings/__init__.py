"""Settings of the daemon."""

from __future__ import annotations

from shallotmux.settings._fleet import GroupSettings, PeerSettings, PeerTlsSettings
from shallotmux.settings._loader import load_settings
from shallotmux.settings._models import (
    InstanceSettings,
    ListenerSettings,
    SecretSettings,
    Settings,
)

__all__ = (
    'GroupSettings',
    'InstanceSettings',
    'ListenerSettings',
    'PeerSettings',
    'PeerTlsSettings',
    'SecretSettings',
    'Settings',
    'load_settings',
)

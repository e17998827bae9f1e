"""Settings of the daemon."""

from __future__ import annotations

from shallotmux.settings._loader import load_settings
from shallotmux.settings._models import (
    InstanceSettings,
    ListenerSettings,
    SecretSettings,
    Settings,
)

__all__ = (
    'InstanceSettings',
    'ListenerSettings',
    'SecretSettings',
    'Settings',
    'load_settings',
)

"""Client of the platform's read-only API, and the poller of its lists."""

from __future__ import annotations

from shallotmux.provisioning._client import (
    AcceptedReport,
    PlatformEndpoint,
    PlatformInstance,
    PlatformListClient,
)
from shallotmux.provisioning._poller import PlatformPoller

__all__ = (
    'AcceptedReport',
    'PlatformEndpoint',
    'PlatformInstance',
    'PlatformListClient',
    'PlatformPoller',
)

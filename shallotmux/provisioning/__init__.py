"""Client of the platform's read-only API, and the poller of its lists."""

from __future__ import annotations

from shallotmux.provisioning._client import (
    AcceptedReport,
    PlatformClient,
    PlatformEndpoint,
    PlatformInstance,
)
from shallotmux.provisioning._poller import PlatformPoller

__all__ = (
    'AcceptedReport',
    'PlatformClient',
    'PlatformEndpoint',
    'PlatformInstance',
    'PlatformPoller',
)

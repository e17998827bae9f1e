"""The border to the platform."""

from __future__ import annotations

from shallotmux.platform._client import (
    AcceptedReport,
    PlatformClient,
    PlatformEndpoint,
    PlatformInstance,
)
from shallotmux.platform._poller import PlatformPoller

__all__ = (
    'AcceptedReport',
    'PlatformClient',
    'PlatformEndpoint',
    'PlatformInstance',
    'PlatformPoller',
)

"""The daemon ``shallotmuxd``."""

from __future__ import annotations

from shallotmux.daemon._groups import FLEET_GROUP, ZONE_PREFIX, InstanceGroups
from shallotmux.daemon._instance import DaemonInstance
from shallotmux.daemon._listeners import Addresses
from shallotmux.daemon._main import main

__all__ = (
    'FLEET_GROUP',
    'ZONE_PREFIX',
    'Addresses',
    'DaemonInstance',
    'InstanceGroups',
    'main',
)

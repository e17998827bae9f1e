"""Controllers of a zone: engine roles, fleet size and the draining of endpoints."""

from __future__ import annotations

from shallotmux.controllers._demand import DemandTracker, ZoneDemand
from shallotmux.controllers._dependencies import ControllerDependencies
from shallotmux.controllers._drains import DrainWatcher, EndpointDrainer, find_draining, wait_idle
from shallotmux.controllers._fleet import FleetController
from shallotmux.controllers._roles import RoleController
from shallotmux.controllers._zone import ZoneLeader

__all__ = (
    'ControllerDependencies',
    'DemandTracker',
    'DrainWatcher',
    'EndpointDrainer',
    'FleetController',
    'RoleController',
    'ZoneDemand',
    'ZoneLeader',
    'find_draining',
    'wait_idle',
)

"""Operator API: ASGI application, client and configuration files."""

from __future__ import annotations

from shallotmux.operators._app import OperatorApp, OperatorDependencies
from shallotmux.operators._client import OperatorClient, OperatorError, decode_response
from shallotmux.operators._files import (
    Change,
    plan_changes,
    read_configuration,
    send_changes,
)
from shallotmux.operators._objects import (
    OBJECT_CLASSES,
    ObjectName,
    build_object,
    object_to_builtins,
)
from shallotmux.operators._providers import (
    EndpointStatus,
    FleetStatus,
    InstanceStatus,
    LocalStatus,
    PendingChange,
    Providers,
    QuarantinedRequest,
    QuarantineProvider,
    Reach,
    StatusProvider,
    UsageProvider,
    UsageRow,
    ZoneQuarantine,
    ZoneStatus,
)

__all__ = (
    'OBJECT_CLASSES',
    'Change',
    'EndpointStatus',
    'FleetStatus',
    'InstanceStatus',
    'LocalStatus',
    'ObjectName',
    'OperatorApp',
    'OperatorClient',
    'OperatorError',
    'OperatorDependencies',
    'PendingChange',
    'Providers',
    'QuarantineProvider',
    'QuarantinedRequest',
    'Reach',
    'StatusProvider',
    'UsageProvider',
    'UsageRow',
    'ZoneQuarantine',
    'ZoneStatus',
    'build_object',
    'object_to_builtins',
    'plan_changes',
    'decode_response',
    'read_configuration',
    'send_changes',
)

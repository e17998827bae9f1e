"""End-to-end checks of a zone of three daemons, three stand-in engines and a service."""

from __future__ import annotations

from shallotmux.checking.processes._callers import chat_body
from shallotmux.checking.processes._changes import check_configuration, check_keys, check_leader
from shallotmux.checking.processes._child import Child, start_command, wait_until
from shallotmux.checking.processes._cluster import INSTANCE_NAMES, Cluster, start_cluster
from shallotmux.checking.processes._ends import check_kill, check_shutdown
from shallotmux.checking.processes._report import CheckResult
from shallotmux.checking.processes._restart import check_restart

__all__ = (
    'INSTANCE_NAMES',
    'CheckResult',
    'Child',
    'Cluster',
    'chat_body',
    'check_configuration',
    'check_keys',
    'check_kill',
    'check_leader',
    'check_restart',
    'check_shutdown',
    'start_cluster',
    'start_command',
    'wait_until',
)

"""Orders to engines and to the platform, sent under a lease."""

from __future__ import annotations

from shallotmux.orders._dispatcher import Drain, OrderDependencies, OrderDispatcher, PresenceChecker
from shallotmux.orders._leading import LeadershipOptions, Term, commit, run_as_leader
from shallotmux.orders._requests import build_order, order_id
from shallotmux.orders._sender import (
    ClientSender,
    GuardedSender,
    LeaseExpired,
    LeaseGuard,
    OrderSender,
)

__all__ = (
    'ClientSender',
    'Drain',
    'GuardedSender',
    'LeadershipOptions',
    'LeaseExpired',
    'LeaseGuard',
    'OrderDependencies',
    'OrderDispatcher',
    'OrderSender',
    'PresenceChecker',
    'Term',
    'build_order',
    'commit',
    'order_id',
    'run_as_leader',
)

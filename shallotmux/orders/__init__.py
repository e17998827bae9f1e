"""Orders to engines and to the platform, sent only by the leader that holds the lease."""

from __future__ import annotations

from shallotmux.orders._dispatcher import (
    DrainCallback,
    OrderDependencies,
    OrderDispatcher,
    PresenceChecker,
)
from shallotmux.orders._leadership import LeadershipOptions, Term, commit, run_as_leader
from shallotmux.orders._requests import build_order, order_id
from shallotmux.orders._sender import ClientSender, LeaseGuard, OrderSender

__all__ = (
    'ClientSender',
    'DrainCallback',
    'LeadershipOptions',
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

"""Variants of the decisions to compare."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from enum import StrEnum

from shallotmux.decisions import FleetPolicy, RolePolicy, RoutingPolicy


class Binding(StrEnum):
    """When a request is bound to an engine.

    ``EARLY`` binds on arrival, ``LATE`` when the chosen engine has capacity, and ``PULL`` when an
    engine fetches the request.
    """

    EARLY = 'early'
    LATE = 'late'
    PULL = 'pull'


#: Limits on queued prefill work for requests within their customer's share, over it, and overdue.
MAX_QUEUED_PREFILL_S = (0.6, 0.05, 0.02)


@dataclass(frozen=True, slots=True)
class Variant:
    """Decisions used in a run.

    :param naive: whether routing is round robin.
    :param fair: whether queues are fair among customers instead of first come, first served.
    :param max_queued_prefill_s: queued prefill work up to which an engine accepts a request of each
        priority, in seconds.
    :param priorities: whether requests carry the priority of their customer to the engine.
    :param fixed_roles: number of prefill and decode engines of a fixed assignment; the other
        engines are mixed.
    :param runs_role_controller: whether the role controller runs.
    :param runs_fleet_planner: whether the fleet planner runs.
    :param keeps_fleet: whether the fleet planner is disabled even where a deployment uses it.
    """

    name: str
    naive: bool = False
    fair: bool = True
    binding: Binding = Binding.LATE
    max_queued_prefill_s: tuple[float, float, float] = MAX_QUEUED_PREFILL_S
    priorities: bool = True
    routing: RoutingPolicy = field(default_factory=RoutingPolicy)
    roles: RolePolicy = field(default_factory=RolePolicy)
    fleet: FleetPolicy = field(default_factory=FleetPolicy)
    fixed_roles: tuple[int, int] = (0, 0)
    runs_role_controller: bool = True
    runs_fleet_planner: bool = False
    keeps_fleet: bool = False


NAIVE = Variant(
    'naive',
    naive=True,
    priorities=False,
    fair=False,
    binding=Binding.EARLY,
    runs_role_controller=False,
)
CURRENT = Variant('current')
FIXED_FLEET = replace(CURRENT, name='fixed fleet', keeps_fleet=True)
LOAD_ONLY = replace(CURRENT, name='load only', routing=RoutingPolicy(affinity=False))

"""Variants of the decisions that are measured against each other."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from enum import StrEnum

from shallotmux.decisions import FleetPolicy, RolePolicy, RoutingPolicy


class Binding(StrEnum):
    """When a request is bound to an engine."""

    EARLY = 'early'
    LATE = 'late'
    PULL = 'pull'


#: Room for requests within their customer's share, over it, and overdue (round 2).
ROOM_S = (0.6, 0.05, 0.02)


@dataclass(frozen=True, slots=True)
class Variant:
    """Which decisions are used in a run.

    :param room_s: queued prompt work up to which an engine has room for a request of each
        priority, in seconds.
    :param priorities: whether requests carry their customer's priority to the engine.
    :param fixed_roles: prefill and decode engines of a fixed assignment; the rest is mixed.
    :param steer_roles: whether the role controller runs.
    :param steer_fleet: whether the fleet planner runs.
    :param fixed_fleet: whether a firm that lets the planner run does without it.
    """

    name: str
    naive: bool = False
    fair: bool = True
    binding: Binding = Binding.LATE
    room_s: tuple[float, float, float] = ROOM_S
    priorities: bool = True
    routing: RoutingPolicy = field(default_factory=RoutingPolicy)
    roles: RolePolicy = field(default_factory=RolePolicy)
    spend: FleetPolicy = field(default_factory=FleetPolicy)
    fixed_roles: tuple[int, int] = (0, 0)
    steer_roles: bool = True
    steer_fleet: bool = False
    fixed_fleet: bool = False


NAIVE = Variant(
    'naive', naive=True, priorities=False, fair=False, binding=Binding.EARLY, steer_roles=False
)
CURRENT = Variant('current')
FIXED_FLEET = replace(CURRENT, name='fixed fleet', fixed_fleet=True)
LOAD_ONLY = replace(CURRENT, name='load only', routing=RoutingPolicy(affinity=False))

"""Routing, queueing, rate limiting and scaling decisions, without I/O and clocks."""

from __future__ import annotations

from shallotmux.decisions._candidates import CandidateSet
from shallotmux.decisions._capacity import (
    EngineRates,
    RoleCounts,
    WorkDemand,
    mixed_utilisation,
    utilisation,
)
from shallotmux.decisions._demand import DemandMeter
from shallotmux.decisions._dispatch import DispatchQueue, QueuedRequest
from shallotmux.decisions._estimates import AverageLoad, EndpointState, LoadEstimate, LoadReport
from shallotmux.decisions._fairness import FairQueue, Flow, TokenCosts
from shallotmux.decisions._fleet import (
    DemandSample,
    EndpointOrder,
    FleetDecision,
    FleetEndpoint,
    FleetPolicy,
    FleetSnapshot,
    cheap_loss,
    decide_fleet,
    forecast_engines,
    target_utilisation,
)
from shallotmux.decisions._limits import (
    CustomerBuckets,
    LimitDecision,
    TokenBucket,
    apply_exceptions,
    check_limits,
    full_buckets,
    split_limit,
)
from shallotmux.decisions._naive import (
    FirstComeQueue,
    RoundRobinRouter,
    keep_fleet,
    keep_roles,
)
from shallotmux.decisions._prefix import BLOCK_TOKENS, PrefixIndex, hash_blocks
from shallotmux.decisions._priority import Priority, ShareMeter
from shallotmux.decisions._roles import (
    EngineStatus,
    RoleControllerState,
    RoleDecision,
    RoleOrder,
    RolePolicy,
    RoleSnapshot,
    decide_role,
    forecast_demand,
)
from shallotmux.decisions._router import Router, RoutingPolicy, weighted_policy
from shallotmux.decisions._routing import (
    EndpointView,
    RequestFeatures,
    RoutingDecision,
    estimate_load,
    route_request,
)
from shallotmux.decisions._weights import ScheduledLoad, WeightLoad, schedule_loads

__all__ = (
    'BLOCK_TOKENS',
    'AverageLoad',
    'CandidateSet',
    'CustomerBuckets',
    'DemandMeter',
    'DemandSample',
    'DispatchQueue',
    'EndpointOrder',
    'EndpointState',
    'EndpointView',
    'EngineRates',
    'EngineStatus',
    'FairQueue',
    'FirstComeQueue',
    'FleetDecision',
    'FleetEndpoint',
    'FleetPolicy',
    'FleetSnapshot',
    'Flow',
    'LimitDecision',
    'LoadEstimate',
    'LoadReport',
    'PrefixIndex',
    'Priority',
    'QueuedRequest',
    'RequestFeatures',
    'RoleControllerState',
    'RoleCounts',
    'RoleDecision',
    'RoleOrder',
    'RolePolicy',
    'RoleSnapshot',
    'RoundRobinRouter',
    'Router',
    'RoutingDecision',
    'RoutingPolicy',
    'ScheduledLoad',
    'ShareMeter',
    'TokenBucket',
    'TokenCosts',
    'WeightLoad',
    'WorkDemand',
    'apply_exceptions',
    'cheap_loss',
    'check_limits',
    'decide_fleet',
    'decide_role',
    'estimate_load',
    'forecast_demand',
    'forecast_engines',
    'full_buckets',
    'hash_blocks',
    'keep_fleet',
    'keep_roles',
    'mixed_utilisation',
    'route_request',
    'schedule_loads',
    'split_limit',
    'target_utilisation',
    'utilisation',
    'weighted_policy',
)

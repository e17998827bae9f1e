"""Changes of endpoints that the leader announces before it orders them."""

from __future__ import annotations

from shallotmux.plannedchanges._book import (
    LISTED_WITHIN_S,
    MAX_PLANS_PER_SERVICE,
    ORDER_DELAY_S,
    ORDER_WITHIN_S,
    Plan,
    PlanBook,
    PlanState,
    keeps_role_in_use,
)
from shallotmux.plannedchanges._held import HeldPlans
from shallotmux.plannedchanges._messages import (
    ANNOUNCED_TTL_S,
    PLANS_GROUP,
    ChangeKind,
    PlannedChange,
    PlanPhase,
    PlanReport,
    decode_plan_report,
    encode_plan_report,
)
from shallotmux.plannedchanges._publisher import PlanPublisher, answer_plan_report

__all__ = (
    'ANNOUNCED_TTL_S',
    'LISTED_WITHIN_S',
    'MAX_PLANS_PER_SERVICE',
    'ORDER_DELAY_S',
    'ORDER_WITHIN_S',
    'PLANS_GROUP',
    'ChangeKind',
    'HeldPlans',
    'Plan',
    'PlanBook',
    'PlanPhase',
    'PlanPublisher',
    'PlanReport',
    'PlanState',
    'PlannedChange',
    'answer_plan_report',
    'decode_plan_report',
    'encode_plan_report',
    'keeps_role_in_use',
)

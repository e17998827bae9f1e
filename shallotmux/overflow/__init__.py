"""Overflow between zones: which share of its requests a zone sends to which other zone."""

from __future__ import annotations

from shallotmux.overflow._decider import InstanceUse, OverflowDecider
from shallotmux.overflow._held import SHARES_TTL_S, HeldShares, choose_zone
from shallotmux.overflow._messages import OverflowShare, ServiceUse
from shallotmux.overflow._plan import (
    DEFAULT_PRICE,
    MAX_AGE_S,
    MAX_STEP,
    ROOM_UTILISATION,
    ROUND_TRIP_MS,
    ZoneLoad,
    cost_ms,
    plan_overflow,
)

__all__ = (
    'DEFAULT_PRICE',
    'MAX_AGE_S',
    'MAX_STEP',
    'ROOM_UTILISATION',
    'ROUND_TRIP_MS',
    'SHARES_TTL_S',
    'HeldShares',
    'InstanceUse',
    'OverflowDecider',
    'OverflowShare',
    'ServiceUse',
    'ZoneLoad',
    'choose_zone',
    'cost_ms',
    'plan_overflow',
)

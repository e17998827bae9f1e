"""Limits that endpoints name for the requests of all instances together."""

from __future__ import annotations

from shallotmux.ratelimits._endpoint_limits import EndpointLimits, SendMessage
from shallotmux.ratelimits._granting import PermitGranter, choose_granter, rank_granters
from shallotmux.ratelimits._known import KnownLimits, parse_limit
from shallotmux.ratelimits._messages import LimitReport, PermitGrant, PermitRequest
from shallotmux.ratelimits._stock import PermitStock

__all__ = (
    'EndpointLimits',
    'KnownLimits',
    'LimitReport',
    'PermitGrant',
    'PermitGranter',
    'PermitRequest',
    'PermitStock',
    'SendMessage',
    'choose_granter',
    'parse_limit',
    'rank_granters',
)

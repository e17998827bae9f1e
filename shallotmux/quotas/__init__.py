"""Quotas of customers, kept by all entry instances together."""

from __future__ import annotations

from shallotmux.quotas._bucket import BucketAnswer, CustomerBucket
from shallotmux.quotas._customer_quotas import CustomerQuotas
from shallotmux.quotas._isolated import IsolatedShares, IsolatedUse, divide_isolated
from shallotmux.quotas._node import Asked, Charge, OverQuota, QuotaNode
from shallotmux.quotas._plan import QuotaPlan, QuotaTerms, plan_quota
from shallotmux.quotas._stock import CustomerStock, GrantedPart

__all__ = (
    'Asked',
    'BucketAnswer',
    'Charge',
    'CustomerBucket',
    'CustomerQuotas',
    'CustomerStock',
    'GrantedPart',
    'IsolatedShares',
    'IsolatedUse',
    'OverQuota',
    'QuotaNode',
    'QuotaPlan',
    'QuotaTerms',
    'divide_isolated',
    'plan_quota',
)

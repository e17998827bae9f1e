"""Log lines and metrics of quotas at one instance."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from eliot import log_message
from prometheus_client import CollectorRegistry, Counter, Gauge

from shallotmux.quotas._bucket import CustomerBucket
from shallotmux.quotas._node import Charge, OverQuota

#: Interval between two summaries, and time without a refusal after which a customer is no longer limited.
SUMMARY_INTERVAL_S = 5.0


@dataclass(slots=True)
class _Use:
    """Use of one customer since the last summary."""

    charged: float = 0.0
    isolated: float = 0.0
    refused_requests: int = 0
    granted: float = 0.0


@dataclass(slots=True)
class _Limited:
    since: float
    refused_at: float
    requests: int = 0


@dataclass(slots=True)
class QuotaReports:
    """Counts what is charged, refused and granted, by customer.

    Label values come from the configuration, which bounds the number of time series.
    """

    registry: CollectorRegistry = field(default_factory=CollectorRegistry)
    #: Tokens or requests that this instance granted as granter, less what came back.
    granted: Gauge = field(init=False)
    #: Tokens or requests charged at this instance.
    charged: Counter = field(init=False)
    #: Requests refused at this instance.
    refused: Counter = field(init=False)
    #: Tokens or requests charged to the isolated share.
    isolated: Counter = field(init=False)
    _uses: dict[str, _Use] = field(default_factory=dict)
    _limited: dict[str, _Limited] = field(default_factory=dict)
    _granted_before: dict[str, float] = field(default_factory=dict)
    _slots: tuple[int, ...] = ()
    _logged_at: float = float('-inf')

    def __post_init__(self) -> None:
        """Create the instruments in the registry."""
        label = ('customer',)
        self.granted = Gauge('shallotmux_quota_granted', 'Granted.', label, registry=self.registry)
        self.charged = Counter(
            'shallotmux_quota_charged', 'Charged.', label, registry=self.registry
        )
        self.refused = Counter(
            'shallotmux_quota_refused', 'Refused requests.', label, registry=self.registry
        )
        self.isolated = Counter(
            'shallotmux_quota_isolated',
            'Charged without a granter.',
            label,
            registry=self.registry,
        )

    def record_charge(self, charge: Charge) -> None:
        """Count a request that was charged."""
        use = self._uses.setdefault(charge.customer, _Use())
        use.charged += charge.amount
        self.charged.labels(charge.customer).inc(charge.amount)
        if not charge.parts:
            use.isolated += charge.amount
            self.isolated.labels(charge.customer).inc(charge.amount)

    def record_refusal(self, customer: str, refusal: OverQuota, now: float) -> None:
        """Count a request that was refused; the first one of a customer is logged."""
        self._uses.setdefault(customer, _Use()).refused_requests += 1
        self.refused.labels(customer).inc()
        limited = self._limited.get(customer)
        if limited is None:
            limited = _Limited(now, now)
            self._limited[customer] = limited
            log_message(
                message_type='shallotmux:quota-limited',
                customer=customer,
                is_isolated=refusal.is_isolated,
                retry_after_s=round(refusal.retry_after_s, 2),
            )
        limited.refused_at = now
        limited.requests += 1

    def record_round(
        self, slots: tuple[int, ...], buckets: Mapping[str, CustomerBucket], now: float
    ) -> None:
        """Log changes since the last round, and a summary at intervals.

        :param slots: slots of which this instance is the granter.
        """
        if slots != self._slots:
            log_message(
                message_type='shallotmux:quota-granter', slots=slots, former_slots=self._slots
            )
            self._slots = slots
        for customer, limited in tuple(self._limited.items()):
            if now - limited.refused_at >= SUMMARY_INTERVAL_S:
                self._limited.pop(customer)
                log_message(
                    message_type='shallotmux:quota-unlimited',
                    customer=customer,
                    refused=limited.requests,
                    limited_s=round(limited.refused_at - limited.since, 2),
                )
        if now - self._logged_at >= SUMMARY_INTERVAL_S:
            self._logged_at = now
            self._log_summary(buckets)

    def _log_summary(self, buckets: Mapping[str, CustomerBucket]) -> None:
        for customer, bucket in buckets.items():
            self.granted.labels(customer).set(bucket.total_granted)
            granted = bucket.total_granted - self._granted_before.get(customer, 0.0)
            self._granted_before[customer] = bucket.total_granted
            if granted:
                self._uses.setdefault(customer, _Use()).granted = granted
        for name, use in self._uses.items():
            log_message(
                message_type='shallotmux:quota',
                customer=name,
                charged=round(use.charged),
                isolated=round(use.isolated),
                refused=use.refused_requests,
                granted=round(use.granted),
            )
        self._uses.clear()

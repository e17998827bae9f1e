"""Prometheus metrics of an entry instance that forwards requests."""

from __future__ import annotations

from dataclasses import dataclass, field

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

#: Bucket bounds in seconds.
LATENCY_BUCKETS = (0.005, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.74, 1, 2, 4, 8)

#: Bucket bounds of real to estimated time.
RATIO_BUCKETS = (0.25, 0.5, 0.8, 1, 1.25, 1.6, 2, 2.5, 4, 8, 16)


@dataclass(slots=True)
class ForwardingMetrics:
    """Metrics of a forwarder.

    Label values come from the configuration, which bounds the number of time series.
    """

    registry: CollectorRegistry = field(default_factory=CollectorRegistry)
    #: Finished requests, by route and status sent.
    requests: Counter = field(init=False)
    #: Attempts at endpoints, by route and outcome.
    attempts: Counter = field(init=False)
    #: Seconds from the head of a request to the first part of its answer body.
    first_byte: Histogram = field(init=False)
    #: Requests that were refused since they, or parts of their prompts, crash endpoints.
    quarantine_refusals: Counter = field(init=False)
    #: Streams that callers resumed, by where the version that began them was known from, or refused.
    resumptions: Counter = field(init=False)
    #: Services of which this instance reaches no endpoint.
    cut_off_services: Gauge = field(init=False)
    #: Requests that a peer relayed for this instance, or this one for a peer, by result.
    relayed: Counter = field(init=False)
    #: Present quarantines.
    quarantines: Gauge = field(init=False)
    #: Endpoints that name a limit, and permits under their limits since the start.
    limited_endpoints: Gauge = field(init=False)
    permits: Gauge = field(init=False)
    #: Requests in progress.
    in_flight: Gauge = field(init=False)
    #: Refusals by endpoints that are put down to an order of the system, by phase and status.
    refused_after_own_order: Counter = field(init=False)
    #: Real to estimated time of answers, by service.
    estimate_ratio: Histogram = field(init=False)
    #: Load reports of endpoints, by what became of them.
    load_reports: Counter = field(init=False)
    #: Attempts at endpoints of other zones, by service.
    cross_zone_requests: Counter = field(init=False)
    #: Version of the configuration document in force.
    document_version: Gauge = field(init=False)

    def __post_init__(self) -> None:
        """Create the instruments in the registry."""
        registry = self.registry
        self.requests = Counter(
            'shallotmux_forwarded', 'Finished requests.', ('route', 'status'), registry=registry
        )
        self.attempts = Counter(
            'shallotmux_attempts', 'Attempts.', ('route', 'outcome'), registry=registry
        )
        self.first_byte = Histogram(
            'shallotmux_first_byte_seconds',
            'Time to the head of the answer.',
            ('route',),
            buckets=LATENCY_BUCKETS,
            registry=registry,
        )
        self.quarantine_refusals = Counter(
            'shallotmux_quarantine_refusals',
            'Requests refused by a quarantine.',
            ('route',),
            registry=registry,
        )
        self.resumptions = Counter(
            'shallotmux_stream_resumptions',
            'Streams that callers resumed, by where their version was known from, or refused.',
            ('route', 'known_from'),
            registry=registry,
        )
        self.cut_off_services = Gauge(
            'shallotmux_cut_off_services',
            'Services of which this instance reaches no endpoint.',
            registry=registry,
        )
        self.relayed = Counter(
            'shallotmux_relayed',
            'Requests relayed by a peer (sent) or for one (taken).',
            ('direction', 'result'),
            registry=registry,
        )
        self.quarantines = Gauge(
            'shallotmux_quarantines', 'Quarantined requests and prompt parts.', registry=registry
        )
        self.limited_endpoints = Gauge(
            'shallotmux_limited_endpoints', 'Endpoints that name a limit.', registry=registry
        )
        self.permits = Gauge(
            'shallotmux_permits',
            'Permits granted to all instances, and received by this one, since its start.',
            ('kind',),
            registry=registry,
        )
        self.in_flight = Gauge(
            'shallotmux_forwarding_in_flight', 'Requests in progress.', registry=registry
        )
        self.refused_after_own_order = Counter(
            'shallotmux_refused_after_own_order',
            "Refusals by endpoints within 6 s after the system's own order, or while it is announced.",
            ('phase', 'status'),
            registry=registry,
        )
        self.document_version = Gauge(
            'shallotmux_document_version', 'Version in force.', registry=registry
        )
        self.estimate_ratio = Histogram(
            'shallotmux_estimate_ratio',
            'Real to estimated time to the first part of the answer.',
            ('service',),
            buckets=RATIO_BUCKETS,
            registry=registry,
        )
        self.cross_zone_requests = Counter(
            'shallotmux_cross_zone_requests',
            'Requests sent to endpoints of other zones.',
            ('service',),
            registry=registry,
        )
        self.load_reports = Counter(
            'shallotmux_load_reports',
            'Load reports of endpoints, by what became of them.',
            ('result',),
            registry=registry,
        )

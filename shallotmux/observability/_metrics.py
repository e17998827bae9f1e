"""Prometheus metrics of one instance."""

from __future__ import annotations

from dataclasses import dataclass, field

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, Info

from shallotmux import __version__

#: Bucket bounds in seconds; 0.74 is the target of the time to first token.
FIRST_TOKEN_BUCKETS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.35, 0.5, 0.74, 1, 2, 5, 10, 30)

#: Bucket bounds in seconds; 0.065 is the target of the gap between tokens.
TOKEN_GAP_BUCKETS = (0.001, 0.0025, 0.005, 0.01, 0.02, 0.04, 0.065, 0.1, 0.2, 0.5, 1, 5)

#: Bucket bounds in seconds; 300 µs is the target of a routing decision.
DECISION_BUCKETS = (0.00003, 0.0001, 0.0003, 0.001, 0.003, 0.01)


@dataclass(slots=True)
class Metrics:
    """Metrics of one instance.

    Label values come from the configuration, never from requests, so their number is bounded.
    """

    registry: CollectorRegistry = field(default_factory=CollectorRegistry)
    #: Finished requests, by route, customer and outcome: ok, refused, not_run, unknown,
    #: interrupted, disconnected.
    requests: Counter = field(init=False)
    #: Seconds from the head of a request to the first part of its stream.
    first_token: Histogram = field(init=False)
    #: Seconds between parts of a stream.
    token_gap: Histogram = field(init=False)
    #: Requests in progress.
    in_flight: Gauge = field(init=False)
    #: Requests waiting for admission.
    queue_depth: Gauge = field(init=False)
    #: Routing decisions, by reason.
    routing_decisions: Counter = field(init=False)
    #: Seconds that a routing decision took.
    routing_duration: Histogram = field(init=False)
    #: Retries, by route and reason.
    retries: Counter = field(init=False)
    #: Role changes ordered, by previous and new role.
    role_changes: Counter = field(init=False)
    #: Changes of leader seen by this instance, by group.
    leader_changes: Counter = field(init=False)
    #: Seconds by which the local replica is behind its leader.
    replication_lag: Gauge = field(init=False)
    #: Usage reports, by outcome: accepted, refused, unknown.
    usage_reports: Counter = field(init=False)
    #: Secrets or prompts removed from log messages; each one is a bug in the code that logged it.
    log_redactions: Counter = field(init=False)

    def __post_init__(self) -> None:
        """Create the instruments in the registry."""
        self._create_request_instruments()
        self._create_control_instruments()
        build = Info('shallotmux_build', 'Version of the daemon.', registry=self.registry)
        build.info({'version': __version__})

    def _create_request_instruments(self) -> None:
        self.requests = self._counter(
            'requests', 'Finished requests.', ('route', 'customer', 'outcome')
        )
        self.first_token = self._histogram(
            'first_token', 'Time to the first part of a stream.', FIRST_TOKEN_BUCKETS, ('route',)
        )
        self.token_gap = self._histogram(
            'token_gap', 'Time between parts of a stream.', TOKEN_GAP_BUCKETS, ('route',)
        )
        self.in_flight = self._gauge('requests_in_flight', 'Requests in progress.')
        self.queue_depth = self._gauge('queue_depth', 'Requests waiting for admission.', ('route',))
        self.retries = self._counter(
            'retries', 'Further attempts after the first.', ('route', 'reason')
        )

    def _create_control_instruments(self) -> None:
        self.routing_decisions = self._counter(
            'routing_decisions', 'Routing decisions.', ('reason',)
        )
        self.routing_duration = self._histogram(
            'routing_decision', 'Duration of a routing decision.', DECISION_BUCKETS
        )
        self.role_changes = self._counter(
            'role_changes', 'Role changes ordered.', ('former', 'ordered')
        )
        self.leader_changes = self._counter('leader_changes', 'Changes of leader.', ('group',))
        self.replication_lag = self._gauge(
            'replication_lag_seconds', 'Time that the replica is behind its leader.', ('group',)
        )
        self.usage_reports = self._counter('usage_reports', 'Usage reports sent.', ('outcome',))
        self.log_redactions = self._counter(
            'log_redactions', 'Secrets or prompts removed from log messages.'
        )

    def _counter(self, name: str, text: str, labels: tuple[str, ...] = ()) -> Counter:
        return Counter(f'shallotmux_{name}', text, labels, registry=self.registry)

    def _gauge(self, name: str, text: str, labels: tuple[str, ...] = ()) -> Gauge:
        return Gauge(f'shallotmux_{name}', text, labels, registry=self.registry)

    def _histogram(
        self, name: str, text: str, buckets: tuple[float, ...], labels: tuple[str, ...] = ()
    ) -> Histogram:
        return Histogram(
            f'shallotmux_{name}_seconds', text, labels, buckets=buckets, registry=self.registry
        )

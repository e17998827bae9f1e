"""Metrics of what a process holds for others, against its bounds."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from prometheus_client import CollectorRegistry, Gauge

from shallotmux.membounds import ConnectionSlots, MemoryBudget


def add_bounds_gauges(
    registry: CollectorRegistry, budget: MemoryBudget, slots: Iterable[ConnectionSlots]
) -> None:
    """Add gauges that are read when the metrics are.

    :param slots: connections of each listener.
    """
    held = Gauge(
        'shallotmux_buffered_bytes',
        'Bytes held for callers, endpoints and instances, their limit, and refusals for want of room.',
        ('kind',),
        registry=registry,
    )
    held.labels('held').set_function(lambda: budget.used)
    held.labels('limit').set_function(lambda: budget.limit)
    held.labels('refusals').set_function(lambda: budget.refusals)
    connections = Gauge(
        'shallotmux_listener_connections',
        'Open connections of a listener, their limit, and those closed for others since the start.',
        ('listener', 'kind'),
        registry=registry,
    )
    for each in slots:
        connections.labels(each.name, 'open').set_function(_read(each, 'taken'))
        connections.labels(each.name, 'limit').set(each.limit)
        connections.labels(each.name, 'evicted').set_function(_read(each, 'evicted'))


def _read(slots: ConnectionSlots, name: str) -> Callable[[], float]:
    return lambda: float(getattr(slots, name))

"""Bytes exchanged with other instances, by kind of message and by whether they cross zones."""

from __future__ import annotations

import enum
from collections.abc import Callable, Iterator

from prometheus_client.core import CounterMetricFamily
from prometheus_client.registry import Collector, CollectorRegistry

METRIC = 'shallotmux_peer_bytes'


class TrafficKind(enum.Enum):
    """Kind of a message between instances."""

    #: Poll of a control instance by an entry instance, and its answer.
    POLL = 'poll'
    POLL_ANSWER = 'poll-answer'
    #: Any other call, and its answer.
    CALL = 'call'
    CALL_ANSWER = 'call-answer'
    #: Messages of the control group.
    REPLICATION = 'replication'
    #: Shared loads and permits.
    DATAGRAM = 'datagram'


class Direction(enum.Enum):
    """Direction of a message, as this instance sees it."""

    SENT = 'sent'
    RECEIVED = 'received'


class PeerTraffic(Collector):
    """Counts the payload bytes of messages, without frames and headers.

    :param zone: zone of this instance; empty if unknown.
    :param zone_of: returns the zone of an instance; empty if unknown.
    :param poll_group: group whose calls are polls.
    """

    def __init__(
        self,
        zone: str = '',
        zone_of: Callable[[str], str] | None = None,
        poll_group: str = '',
    ) -> None:
        self._zone = zone
        self._zone_of = zone_of or _unknown_zone
        self._poll_group = poll_group
        # Plain numbers: a labelled counter costs several times as much for each message.
        self._bytes: dict[tuple[TrafficKind, Direction, str], int] = {}

    def register(self, registry: CollectorRegistry) -> None:
        """Add the metric to a registry."""
        registry.register(self)

    def count(self, kind: TrafficKind, direction: Direction, peer: str, size: int) -> None:
        """Count a message.

        :param size: bytes of its payload.
        """
        zone = self._zone_of(peer)
        if zone and self._zone:
            crosses = 'no' if zone == self._zone else 'yes'
        else:
            crosses = 'unknown'
        key = kind, direction, crosses
        self._bytes[key] = self._bytes.get(key, 0) + size

    def count_call(self, group: str, direction: Direction, peer: str, size: int) -> None:
        """Count the command of a call."""
        kind = TrafficKind.POLL if group == self._poll_group else TrafficKind.CALL
        self.count(kind, direction, peer, size)

    def count_answer(self, group: str, direction: Direction, peer: str, size: int) -> None:
        """Count the answer to a call."""
        is_poll = group == self._poll_group
        self.count(
            TrafficKind.POLL_ANSWER if is_poll else TrafficKind.CALL_ANSWER, direction, peer, size
        )

    def collect(self) -> Iterator[CounterMetricFamily]:
        """Yield the metric with its values."""
        metric = CounterMetricFamily(
            METRIC,
            'Payload bytes of messages between instances.',
            labels=('kind', 'direction', 'crosses_zones'),
        )
        for (kind, direction, crosses), size in self._bytes.items():
            metric.add_metric((kind.value, direction.value, crosses), size)
        yield metric


def _unknown_zone(_: str) -> str:
    return ''

"""Measure requests of callers, independently of their execution."""

from __future__ import annotations

from dataclasses import dataclass, field

import trio
from prometheus_client import Histogram

from shallotmux.http import WRITER_KEY, AsgiApp, Message, PartWriter, Receive, Scope, Send
from shallotmux.observability._metrics import Metrics

#: Key of the ASGI scope that holds the labels of a request.
LABELS_KEY = 'shallotmux.labels'

#: Label value of requests that were refused before their route was known.
UNKNOWN_LABEL = 'none'

_OUTCOMES = {200: 'ok', 499: 'disconnected', 502: 'unknown', 503: 'not_run', 504: 'unknown'}


@dataclass(slots=True)
class RequestLabels:
    """Route and customer of a request, once they are known."""

    route: str = UNKNOWN_LABEL
    customer: str = UNKNOWN_LABEL


def label_request(scope: Scope, route: str, customer: str) -> None:
    """Set the route and the customer of a request in its metrics.

    :param customer: name of the customer, or empty on routes open to all.
    """
    labels = scope.get(LABELS_KEY)
    if isinstance(labels, RequestLabels):
        labels.route = route
        labels.customer = customer or UNKNOWN_LABEL


@dataclass(slots=True)
class StreamMeter:
    """Measures the parts of one response.

    :param started_s: time at which the head of the request was received, on trio's clock.
    """

    metrics: Metrics
    labels: RequestLabels
    started_s: float
    status: int = 0
    complete: bool = False
    _last_s: float = 0.0
    _gaps: Histogram | None = field(default=None, repr=False)

    def observe(self, message: Message) -> None:
        """Record a message that was sent to the caller."""
        if message['type'] == 'http.response.start':
            self.status = message['status']
            return
        more = message.get('more_body', False)
        if more and message['body']:
            self.observe_part(trio.current_time())
        self.complete = not more

    def outcome(self) -> str:
        """Return the outcome of the request."""
        if not self.complete:
            return 'interrupted' if self.status else 'disconnected'
        return _OUTCOMES.get(self.status, 'refused')

    def observe_part(self, now_s: float) -> None:
        """Record a part of the stream that was sent."""
        if self._gaps is None:
            self._gaps = self.metrics.token_gap.labels(self.labels.route)
            self.metrics.first_token.labels(self.labels.route).observe(now_s - self.started_s)
        else:
            self._gaps.observe(now_s - self._last_s)
        self._last_s = now_s


@dataclass(frozen=True, slots=True)
class _MeteredWriter:
    """Measures the parts that bypass ASGI messages."""

    writer: PartWriter
    meter: StreamMeter

    @property
    def blocked(self) -> bool:
        """Return whether the rest of a part waits to be sent with the next message."""
        return self.writer.blocked

    def write_now(self, part: bytes) -> bool:
        """Write a part, and return whether it was accepted."""
        accepted = self.writer.write_now(part)
        if accepted:
            self.meter.observe_part(trio.current_time())
        return accepted


@dataclass(frozen=True, slots=True)
class MeteredApp:
    """Wraps the caller application and measures its requests."""

    app: AsgiApp
    metrics: Metrics

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one ASGI connection."""
        if scope['type'] != 'http':
            await self.app(scope, receive, send)
            return
        labels = RequestLabels()
        scope[LABELS_KEY] = labels
        meter = StreamMeter(self.metrics, labels, trio.current_time())
        if WRITER_KEY in scope:
            scope[WRITER_KEY] = _MeteredWriter(scope[WRITER_KEY], meter)

        async def send_metered(message: Message) -> None:
            await send(message)
            meter.observe(message)

        self.metrics.in_flight.inc()
        try:
            await self.app(scope, receive, send_metered)
        finally:
            self.metrics.in_flight.dec()
            self.metrics.requests.labels(labels.route, labels.customer, meter.outcome()).inc()

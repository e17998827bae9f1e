"""ASGI application for monitoring: metrics, liveness, readiness."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from shallotmux.http import Receive, Scope, Send, send_json, send_response
from shallotmux.observability._metrics import Metrics


@dataclass(slots=True)
class Readiness:
    """Readiness of this instance for requests from the load balancer.

    :param checks: conditions by name; each returns whether it holds. The name of one that does not
        is a reason for not being ready.
    :param failures: reasons that last until the process exits.
    """

    checks: dict[str, Callable[[], bool]] = field(default_factory=dict)
    failures: set[str] = field(default_factory=set)

    def fail(self, reason: str) -> None:
        """Make the instance permanently not ready."""
        self.failures.add(reason)

    def reasons(self) -> list[str]:
        """Return why the instance is not ready; empty when it is."""
        failed = (name for name, holds in self.checks.items() if not holds())
        return sorted((*self.failures, *failed))


@dataclass(frozen=True, slots=True)
class MonitoringApp:
    """Serves ``/metrics``, ``/healthz`` and ``/readyz``."""

    metrics: Metrics
    readiness: Readiness

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one ASGI connection."""
        if scope['type'] != 'http':
            return
        match (scope['method'], scope['path']):
            case ('GET', '/metrics'):
                page = generate_latest(self.metrics.registry)
                await send_response(send, 200, page, CONTENT_TYPE_LATEST)
            case ('GET', '/healthz'):
                await send_json(send, 200, {'alive': True})
            case ('GET', '/readyz'):
                reasons = self.readiness.reasons()
                status = 503 if reasons else 200
                await send_json(send, status, {'ready': not reasons, 'reasons': reasons})
            case _:
                await send_json(send, 404, {'error': {'message': 'no such path'}})

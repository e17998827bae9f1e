"""The listeners of one instance, and the order of their shutdown."""

from __future__ import annotations

from dataclasses import dataclass

import trio
from eliot import log_message

from shallotmux.errors import SettingsError
from shallotmux.http import AsgiApp, Certificate, Listener, serve_app
from shallotmux.membounds import MIN_CONNECTIONS, read_descriptor_limit
from shallotmux.settings import CertificateSettings, Settings


@dataclass(frozen=True, slots=True)
class Addresses:
    """Addresses that the listeners of an instance are bound to.

    :param metrics: empty without a listener for metrics.
    """

    callers: str
    operators: str
    metrics: str = ''


@dataclass(frozen=True, slots=True)
class Applications:
    """Applications for callers, operators and monitoring."""

    callers: AsgiApp
    operators: AsgiApp
    metrics: AsgiApp


#: Parts of the descriptors for the connections of each listener; the rest is for engines, files and other
#: instances. Most connections of callers have a stream in progress, which takes memory.
CONNECTION_FRACTIONS = {'callers': 0.4, 'operators': 0.1, 'metrics': 0.05}
MAX_CONNECTIONS = 16_384


class Listeners:
    """Serves the applications of one instance.

    At shutdown the listener for callers closes first; operators and monitoring are served until the
    open requests of callers are finished.
    """

    def __init__(self, settings: Settings, applications: Applications) -> None:
        self._settings = settings
        self._applications = applications
        self._certificates: dict[str, Certificate] = read_certificates(settings)
        self._stop_callers = trio.Event()
        self._stop_others = trio.Event()

    async def serve(
        self, *, task_status: trio.TaskStatus[Addresses] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until :meth:`stop`, then finish the open requests."""
        async with trio.open_nursery() as watchers:
            for name, certificate in self._certificates.items():
                watchers.start_soon(self._watch, name, certificate)
            async with trio.open_nursery() as others:
                await self._serve_all(others, task_status)
                self._stop_others.set()
            watchers.cancel_scope.cancel()

    def stop(self) -> None:
        """Stop accepting callers; :meth:`serve` returns when their requests are finished."""
        self._stop_callers.set()

    def reload_certificates(self) -> None:
        """Reload all certificates; an invalid one is logged, and the previous one stays in use."""
        for name, certificate in self._certificates.items():
            try:
                certificate.reload()
            except SettingsError as error:
                _log_reload(name, error)
            else:
                _log_reload(name, None)

    async def _serve_all(
        self, others: trio.Nursery, task_status: trio.TaskStatus[Addresses]
    ) -> None:
        listeners = self._settings.listeners
        stop = self._stop_others.wait
        operators = await others.start(
            serve_app, self._applications.operators, self._listener('operators'), stop
        )
        metrics = ''
        if listeners.metrics:
            metrics = await others.start(
                serve_app, self._applications.metrics, self._listener('metrics'), stop
            )
        async with trio.open_nursery() as nursery:
            callers = await nursery.start(
                serve_app,
                self._applications.callers,
                self._listener('callers'),
                self._stop_callers.wait,
            )
            task_status.started(Addresses(callers, operators, metrics))

    def _listener(self, name: str) -> Listener:
        return Listener(
            bind=getattr(self._settings.listeners, name),
            certificate=self._certificates.get(name),
            header_bytes=self._settings.limits.header_bytes,
            keep_alive_s=self._settings.timeouts.keep_alive_s,
            drain_s=self._settings.timeouts.drain_s,
            connections=_count_connections(name),
        )

    async def _watch(self, name: str, certificate: Certificate) -> None:
        await certificate.watch(
            self._settings.timeouts.certificate_check_s,
            lambda error: _log_reload(name, error),
        )


def read_certificates(settings: Settings) -> dict[str, Certificate]:
    """Return the certificates of the listeners that have one.

    :raises SettingsError: if one cannot be loaded.
    """
    certificates: dict[str, Certificate] = {}
    for name in ('callers', 'operators'):
        pair: CertificateSettings = getattr(settings.tls, name)
        if pair.certificate:
            certificates[name] = Certificate(pair.certificate, pair.private_key)
            certificates[name].check()
    return certificates


def _log_reload(name: str, error: SettingsError | None) -> None:
    log_message(
        message_type='shallotmux:tls:reload',
        level='error' if error else 'info',
        listener=name,
        problem=str(error) if error else '',
    )


def _count_connections(listener: str) -> int:
    """Return the number of connections that a listener may have."""
    count = int(CONNECTION_FRACTIONS[listener] * read_descriptor_limit())
    return min(max(MIN_CONNECTIONS, count), MAX_CONNECTIONS)

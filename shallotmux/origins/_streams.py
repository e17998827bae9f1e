"""Beginnings of streams as one entry instance knows them, together with the control instances."""

from __future__ import annotations

from collections.abc import Iterable

import trio
from eliot import log_message

from shallotmux.origins._client import ACK_TIMEOUT_S, MAX_UNANSWERED, OriginClient
from shallotmux.origins._decision import Continuation, Knowledge, Unknown, choose_version
from shallotmux.origins._history import VersionHistory
from shallotmux.origins._store import Origin, OriginStore, make_report
from shallotmux.suspension import SuspensionMonitor

#: Newest beginnings of a service that are told at once when a second version appears.
MAX_TOLD_AT_ONCE = 256


class StreamOrigins:
    """Remembers at which software version streams began, and finds it for those that are resumed.

    While a single version serves, and has for as long as a stream can last, the history of versions
    tells it for every stream. Otherwise control instances are told of each beginning before its first
    event is relayed, so that it outlives this instance.

    :param client: None if there are no control instances.
    """

    def __init__(self, client: OriginClient | None = None) -> None:
        self.history = VersionHistory()
        self._store = OriginStore()
        self._client = client
        self._suspension = SuspensionMonitor()
        #: Services of which a single version served when the last list arrived.
        self._single: set[str] = set()

    def observe(self, versions: Iterable[tuple[str, str]], at: float) -> None:
        """Record the services and software versions of a list that was read at a local time."""
        named = tuple(versions)
        self.history.observe(named, at)
        services = {service for service, _ in named}
        for service in services:
            if self.single_version(service) is not None:
                self._single.add(service)
            elif service in self._single:
                self._single.discard(service)
                self._tell_recent(service)

    def single_version(self, service: str) -> str | None:
        """Return the only version that may have begun a stream that still lasts, or None."""
        if self.history.until <= self._suspension.noticed_at():
            # The list may have changed while this machine was suspended.
            return None
        return self.history.single_version(service, trio.current_time())

    async def record(self, key: int, service: str, version: str, request: str) -> None:
        """Record the beginning of a stream, before its first event is relayed.

        :param request: id of the request, for logs.
        """
        origin = self._store.add(key, Origin(service, version, trio.current_time()))
        if self._client is None or self.single_version(service) == version:
            return
        is_known = self._client.tell(make_report(key, origin))
        with trio.move_on_after(ACK_TIMEOUT_S):
            await is_known.wait()
        if not is_known.is_set():
            log_message(
                message_type='shallotmux:origin-unconfirmed', request=request, software=version
            )

    async def find(self, key: int, service: str) -> Continuation | Unknown:
        """Return at which version a stream goes on."""
        own = self._store.find(key)
        if own is not None or self._client is None:
            return choose_version(Knowledge(own, None, self.single_version(service), service))
        now = trio.current_time()
        question = await self._client.ask(key)
        told: Origin | None = None
        for each in question.reports:
            told = Origin(each.service, each.version, now - each.age_s)
        # An endpoint of another version may have joined since the last list, and begun the stream.
        # Control instances were told so by the instance that used it, but those that answered may
        # not be the ones.
        is_complete = question.unanswered <= MAX_UNANSWERED
        single = self.single_version(service) if is_complete else None
        return choose_version(Knowledge(None, told, single, service))

    def _tell_recent(self, service: str) -> None:
        """Tell the beginnings that the history of versions does not tell any more."""
        if self._client is not None:
            for key, origin in self._store.list_service(service, MAX_TOLD_AT_ONCE):
                self._client.tell(make_report(key, origin))

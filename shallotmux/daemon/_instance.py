"""Wire the parts of one instance together."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

import trio

from shallotmux.authority import Authority
from shallotmux.callers import CallerApp, CallerTools
from shallotmux.daemon._groups import InstanceGroups, choose_authority
from shallotmux.engines import EngineClient
from shallotmux.http import HttpClient, HttpcoreClient, Listener, serve_app
from shallotmux.observability import DecisionLog
from shallotmux.operators import OperatorApp, OperatorTools
from shallotmux.requests import RequestExecutor, Tools
from shallotmux.settings import Settings


@dataclass(frozen=True, slots=True)
class Addresses:
    """Addresses that an instance has bound.

    :param peers: empty on a standalone instance.
    """

    callers: str
    operators: str
    peers: str = ''


class DaemonInstance:
    """One entry instance: its applications and the tasks that serve them."""

    def __init__(
        self,
        settings: Settings,
        client: HttpClient | None = None,
        authority: Authority | None = None,
        groups: InstanceGroups | None = None,
    ) -> None:
        pepper = settings.secrets.pepper.encode()
        self._settings = settings
        self._shutdown = trio.Event()
        self.groups = groups
        self.authority: Authority = authority or choose_authority(settings, groups)
        self.decisions = DecisionLog(settings.instance.name)
        executor = RequestExecutor(
            Tools(
                authority=self.authority,
                engines=EngineClient(client or HttpcoreClient()),
                decisions=self.decisions,
                random=Random(settings.instance.name),  # noqa: S311
            ),
        )
        self.caller_app = CallerApp(CallerTools(self.authority, executor, pepper))
        self.operator_app = OperatorApp(
            OperatorTools(self.authority, pepper, settings.secrets.operator_token)
        )

    async def run(
        self, *, task_status: trio.TaskStatus[Addresses] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until :meth:`shut_down`, finish the open requests, hand over leadership."""
        async with trio.open_nursery() as background:
            peers = ''
            if self.groups is not None:
                peers = await background.start(self.groups.run)
            await self._serve(peers, task_status)
            if self.groups is not None:
                await self.groups.leave()
            background.cancel_scope.cancel()

    def shut_down(self) -> None:
        """Stop accepting requests and let :meth:`run` return."""
        self._shutdown.set()

    async def _serve(self, peers: str, task_status: trio.TaskStatus[Addresses]) -> None:
        listeners = self._settings.listeners
        async with trio.open_nursery() as nursery:
            callers = await nursery.start(
                serve_app, self.caller_app, Listener(listeners.callers), self._shutdown.wait
            )
            operators = await nursery.start(
                serve_app, self.operator_app, Listener(listeners.operators), self._shutdown.wait
            )
            task_status.started(Addresses(callers, operators, peers))

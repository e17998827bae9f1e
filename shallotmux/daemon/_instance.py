"""Wire the parts of one instance together."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

import trio

from shallotmux.authority import Authority, LocalAuthority
from shallotmux.callers import CallerApp, CallerTools
from shallotmux.engines import EngineClient, ServiceClient
from shallotmux.http import HttpClient, HttpcoreClient, Listener, serve_app
from shallotmux.observability import DecisionLog
from shallotmux.operators import OperatorApp, OperatorTools
from shallotmux.requests import RequestExecutor, Tools
from shallotmux.settings import Settings


@dataclass(frozen=True, slots=True)
class Addresses:
    """Addresses that an instance has bound."""

    callers: str
    operators: str


class DaemonInstance:
    """One entry instance: its applications and the tasks that serve them."""

    def __init__(
        self,
        settings: Settings,
        client: HttpClient | None = None,
        authority: Authority | None = None,
    ) -> None:
        pepper = settings.secrets.pepper.encode()
        self._settings = settings
        self._shutdown = trio.Event()
        self.authority: Authority = authority or LocalAuthority(settings.instance.name)
        self.decisions = DecisionLog(settings.instance.name)
        http = client or HttpcoreClient()
        self.executor = RequestExecutor(
            Tools(
                authority=self.authority,
                engines=EngineClient(http),
                services=ServiceClient(http),
                decisions=self.decisions,
                random=Random(settings.instance.name),  # noqa: S311
                instance=settings.instance.name,
            ),
        )
        self.caller_app = CallerApp(CallerTools(self.authority, self.executor, pepper))
        self.operator_app = OperatorApp(
            OperatorTools(self.authority, pepper, settings.secrets.operator_token)
        )

    async def run(
        self, *, task_status: trio.TaskStatus[Addresses] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until :meth:`shut_down`, then finish the open requests."""
        listeners = self._settings.listeners
        async with trio.open_nursery() as background:
            background.start_soon(self.executor.run)
            async with trio.open_nursery() as nursery:
                callers = await nursery.start(
                    serve_app, self.caller_app, Listener(listeners.callers), self._shutdown.wait
                )
                operators = await nursery.start(
                    serve_app, self.operator_app, Listener(listeners.operators), self._shutdown.wait
                )
                task_status.started(Addresses(callers, operators))
            background.cancel_scope.cancel()

    def shut_down(self) -> None:
        """Stop accepting requests and let :meth:`run` return."""
        self._shutdown.set()

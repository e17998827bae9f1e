"""Wire the parts of one instance together."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

import trio

from shallotmux.authority import Authority, LocalAuthority
from shallotmux.callers import CallerApp, CallerTools
from shallotmux.engines import EngineClient
from shallotmux.http import HttpClient, HttpcoreClient, Listener, serve_app
from shallotmux.observability import DecisionLog
from shallotmux.operators import LocalStatus, OperatorApp, OperatorTools, Providers
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
        providers: Providers | None = None,
    ) -> None:
        pepper = settings.secrets.pepper.encode()
        self._settings = settings
        self._shutdown = trio.Event()
        self.authority: Authority = authority or LocalAuthority(settings.instance.name)
        self.decisions = DecisionLog(settings.instance.name, settings.limits.decision_records)
        executor = RequestExecutor(
            Tools(
                authority=self.authority,
                engines=EngineClient(client or HttpcoreClient()),
                decisions=self.decisions,
                random=Random(settings.instance.name),  # noqa: S311
            ),
        )
        self.caller_app = CallerApp(CallerTools(self.authority, executor, pepper))
        self.providers = providers or Providers(
            LocalStatus(self.authority, settings.instance.name, settings.instance.zone)
        )
        self.operator_app = OperatorApp(
            OperatorTools(
                self.authority,
                pepper,
                settings.secrets.operator_token,
                self.providers,
                self.decisions,
                settings.operators.body_bytes,
            )
        )

    async def run(
        self, *, task_status: trio.TaskStatus[Addresses] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until :meth:`shut_down`, then finish the open requests."""
        listeners = self._settings.listeners
        async with trio.open_nursery() as nursery:
            callers = await nursery.start(
                serve_app, self.caller_app, Listener(listeners.callers), self._shutdown.wait
            )
            operators = await nursery.start(
                serve_app, self.operator_app, Listener(listeners.operators), self._shutdown.wait
            )
            task_status.started(Addresses(callers, operators))

    def shut_down(self) -> None:
        """Stop accepting requests and let :meth:`run` return."""
        self._shutdown.set()

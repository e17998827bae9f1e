"""ASGI application for callers."""

from __future__ import annotations

from dataclasses import dataclass

from shallotmux.authority import Authority
from shallotmux.callers._authentication import authenticate
from shallotmux.callers._completions import CompletionHandler
from shallotmux.callers._errors import build_error
from shallotmux.callers._services import SERVICE_PREFIX, ServiceHandler
from shallotmux.errors import CallerError, ShallotmuxError
from shallotmux.http import Receive, Scope, Send, send_error, send_json
from shallotmux.requests import RequestExecutor
from shallotmux.world import RouteKind


@dataclass(frozen=True, slots=True)
class CallerDependencies:
    """Dependencies of the caller application.

    :param pepper: key of the keyed hash under which API keys are stored.
    """

    authority: Authority
    executor: RequestExecutor
    pepper: bytes


class CallerApp:
    """Serves the completions protocol and the plain services."""

    def __init__(self, dependencies: CallerDependencies) -> None:
        self._dependencies = dependencies
        self._completions = CompletionHandler(
            dependencies.authority, dependencies.executor, dependencies.pepper
        )
        self._services = ServiceHandler(
            dependencies.authority, dependencies.executor, dependencies.pepper
        )

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one ASGI connection."""
        if scope['type'] != 'http':
            return
        try:
            await self._handle(scope, receive, send)
        except ShallotmuxError as error:
            await send_error(send, build_error(error))

    async def _handle(self, scope: Scope, receive: Receive, send: Send) -> None:
        match (scope['method'], scope['path']):
            case ('GET', '/v1/models'):
                await self._list_models(scope, send)
            case ('POST', '/v1/chat/completions'):
                await self._completions.handle(scope, receive, send, chat=True)
            case ('POST', '/v1/completions'):
                await self._completions.handle(scope, receive, send, chat=False)
            case (_, '/v1/models' | '/v1/chat/completions' | '/v1/completions'):
                raise CallerError('method not allowed', status=405, code='method_not_allowed')
            case (_, str(path)) if path.startswith(SERVICE_PREFIX):
                await self._services.handle(scope, receive, send)
            case _:
                raise CallerError(f'no such path: {scope["path"]}', status=404, code='not_found')

    async def _list_models(self, scope: Scope, send: Send) -> None:
        caller = authenticate(scope, self._dependencies.authority, self._dependencies.pepper)
        models = [
            {'id': route.name, 'object': 'model', 'created': 0, 'owned_by': 'shallotmux'}
            for route in self._dependencies.authority.read().routes()
            if route.kind == RouteKind.MODEL and (caller is not None or route.open_to_all)
        ]
        await send_json(send, 200, {'object': 'list', 'data': models})

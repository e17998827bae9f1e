"""Client of the platform's interfaces that only read."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeVar

import msgspec

from shallotmux.errors import EndpointError
from shallotmux.http import HttpClient, HttpRequest, fetch
from shallotmux.world import Endpoint

#: Largest list that is read: 12,000 endpoints at 300 bytes each, with a margin.
LIST_LIMIT_BYTES = 8_388_608

_Item = TypeVar('_Item')


@dataclass(frozen=True, slots=True)
class PlatformEndpoint:
    """An endpoint as the platform lists it.

    :param leaving: whether the platform will take it away.
    :param remaining_s: seconds until it is gone, 0 when not known.
    """

    endpoint: Endpoint
    pool: str = ''
    leaving: bool = False
    remaining_s: float = 0.0


@dataclass(frozen=True, slots=True)
class PlatformInstance:
    """An instance of this system as the platform lists it, with a lag."""

    name: str
    zone: str
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class AcceptedReport:
    """A usage report that the platform has accepted."""

    operation_id: str
    body: str


class PlatformClient:
    """Reads the platform's lists; orders and reports are sent by their own tasks."""

    def __init__(self, client: HttpClient, address: str) -> None:
        self._client = client
        self._address = address

    async def list_endpoints(self, zone: str) -> list[PlatformEndpoint]:
        """Return the endpoints of a zone.

        :raises EndpointError: if there is no valid answer.
        """
        return await self._get(f'/endpoints?zone={zone}', list[PlatformEndpoint])

    async def list_instances(self) -> list[PlatformInstance]:
        """Return the live and leaving instances of this system.

        :raises EndpointError: if there is no valid answer.
        """
        return await self._get('/instances', list[PlatformInstance])

    async def list_reports(self, zone: str) -> list[AcceptedReport]:
        """Return the usage reports that the platform has accepted for a zone.

        :raises EndpointError: if there is no valid answer.
        """
        return await self._get(f'/usage-reports?zone={zone}', list[AcceptedReport])

    async def _get(self, path: str, kind: type[_Item]) -> _Item:
        request = HttpRequest('GET', self._address, path)
        status, body = await fetch(self._client, request, LIST_LIMIT_BYTES)
        if status != 200:
            raise EndpointError(
                f'platform answered {status} to {path}', step='list', peer=self._address
            )
        try:
            return msgspec.json.decode(body, type=kind)
        except msgspec.MsgspecError as error:
            raise EndpointError(
                f'invalid answer of the platform to {path}: {error}',
                step='list',
                peer=self._address,
            ) from error

"""Client of the platform's read-only API."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeVar

import msgspec

from shallotmux.errors import EndpointError
from shallotmux.http import HttpClient, HttpRequest, fetch
from shallotmux.world import Endpoint

#: Maximum size of a list: 12,000 endpoints of 300 bytes each, with a margin.
MAX_LIST_BYTES = 8_388_608

_Item = TypeVar('_Item')


@dataclass(frozen=True, slots=True)
class PlatformEndpoint:
    """An endpoint as the platform lists it.

    :param leaving: whether the platform is about to reclaim it.
    :param remaining_s: seconds until it is reclaimed, 0 if unknown.
    """

    endpoint: Endpoint
    pool: str = ''
    leaving: bool = False
    remaining_s: float = 0.0


@dataclass(frozen=True, slots=True)
class PlatformInstance:
    """An instance of this system as the platform lists it; the list may lag behind."""

    name: str
    zone: str
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class AcceptedReport:
    """A usage report that the platform has accepted."""

    operation_id: str
    body: str


class PlatformListClient:
    """Reads the platform's lists of endpoints, instances and accepted usage reports."""

    def __init__(self, client: HttpClient, address: str) -> None:
        self._client = client
        self._address = address

    async def list_endpoints(self, zone: str) -> list[PlatformEndpoint]:
        """Return the endpoints of a zone.

        :raises EndpointError: if there is no valid response.
        """
        return await self._get(f'/endpoints?zone={zone}', list[PlatformEndpoint])

    async def list_instances(self) -> list[PlatformInstance]:
        """Return the live and leaving instances of this system.

        :raises EndpointError: if there is no valid response.
        """
        return await self._get('/instances', list[PlatformInstance])

    async def list_reports(self, zone: str) -> list[AcceptedReport]:
        """Return the usage reports that the platform has accepted for a zone.

        :raises EndpointError: if there is no valid response.
        """
        return await self._get(f'/usage-reports?zone={zone}', list[AcceptedReport])

    async def _get(self, path: str, kind: type[_Item]) -> _Item:
        request = HttpRequest('GET', self._address, path)
        status, body = await fetch(self._client, request, MAX_LIST_BYTES)
        if status != 200:
            raise EndpointError(
                f'platform answered {status} to {path}', step='list', peer=self._address
            )
        try:
            return msgspec.json.decode(body, type=kind)
        except msgspec.MsgspecError as error:
            raise EndpointError(
                f'invalid response from the platform to {path}: {error}',
                step='list',
                peer=self._address,
            ) from error

"""Client of the platform's read-only API."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated, TypeVar

import msgspec
from eliot import log_message

from shallotmux.addresses import split_address
from shallotmux.decoding import DECODE_ERRORS
from shallotmux.errors import EndpointError
from shallotmux.http import HttpClient, HttpRequest, fetch
from shallotmux.world import Endpoint

#: Maximum size of a list: 12,000 endpoints of 300 bytes each, with a margin.
MAX_LIST_BYTES = 8_388_608

#: Longest notice before an endpoint is reclaimed. Platforms give seconds to minutes.
MAX_NOTICE_S = 86_400.0

#: Invalid entries of one list that are logged, and the bytes of each that are quoted.
MAX_LOGGED_ENTRIES = 16
MAX_QUOTED_BYTES = 200

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
    remaining_s: Annotated[float, msgspec.Meta(ge=0, le=MAX_NOTICE_S)] = 0.0

    def __post_init__(self) -> None:
        """Check the address.

        :raises ValueError: if it has no port.
        """
        split_address(self.endpoint.address)


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
        """Return the endpoints of a zone; an invalid entry hides no other one.

        :raises EndpointError: if there is no valid response.
        """
        return await self._get_list(f'/endpoints?zone={zone}', PlatformEndpoint)

    async def list_instances(self) -> list[PlatformInstance]:
        """Return the live and leaving instances of this system.

        :raises EndpointError: if there is no valid response.
        """
        return await self._get_list('/instances', PlatformInstance)

    async def list_reports(self, zone: str) -> list[AcceptedReport]:
        """Return the usage reports that the platform has accepted for a zone.

        :raises EndpointError: if there is no valid response.
        """
        return await self._get_list(f'/usage-reports?zone={zone}', AcceptedReport)

    async def _get_list(self, path: str, kind: type[_Item]) -> list[_Item]:
        request = HttpRequest('GET', self._address, path)
        status, body = await fetch(self._client, request, MAX_LIST_BYTES)
        if status != 200:
            raise EndpointError(
                f'platform answered {status} to {path}', step='list', peer=self._address
            )
        try:
            entries = msgspec.json.decode(body, type=list[msgspec.Raw])
        except DECODE_ERRORS as error:
            raise EndpointError(
                f'invalid response from the platform to {path}: {error}',
                step='list',
                peer=self._address,
            ) from error
        return _decode_entries(entries, kind)


def _decode_entries(entries: list[msgspec.Raw], kind: type[_Item]) -> list[_Item]:
    """Return the valid entries of a list; the first invalid ones are logged."""
    valid: list[_Item] = []
    refused = 0
    for entry in entries:
        try:
            valid.append(msgspec.json.decode(entry, type=kind))
        except DECODE_ERRORS as error:
            refused += 1
            if refused <= MAX_LOGGED_ENTRIES:
                log_message(
                    message_type='shallotmux:entry-unreadable',
                    entry=repr(bytes(memoryview(entry)[:MAX_QUOTED_BYTES])),
                    reason=str(error),
                )
    return valid

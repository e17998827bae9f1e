"""A request to be sent over HTTP."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

import httpcore

from shallotmux.errors import EndpointRefused


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """An outgoing request.

    :param address: IP address and port of the server.
    :param path: path and query.
    """

    method: str
    address: str
    path: str
    body: bytes = b''
    headers: Mapping[str, str] = field(default_factory=dict)


def build_url(scheme: str, request: HttpRequest) -> httpcore.URL:
    """Return the URL of a request.

    :raises EndpointRefused: if its address is none; nothing was sent then.
    """
    try:
        url = httpcore.URL(f'{scheme}://{request.address}{request.path}')
        # The resolver encodes names in the same way, and raises errors that are not of httpcore.
        url.host.decode('ascii').encode('idna')
    except (ValueError, TypeError) as error:
        raise EndpointRefused(
            f'invalid address: {error!r}', step='connect', peer=request.address
        ) from error
    return url

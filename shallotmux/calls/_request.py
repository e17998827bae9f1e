"""A request to be sent over HTTP."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field


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

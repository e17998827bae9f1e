"""Tests of the client of the engine protocol."""

from __future__ import annotations

from collections.abc import AsyncIterator, Mapping
from dataclasses import dataclass, field

import pytest

from shallotmux.engines._client import MAX_ERROR_BYTES, _build_error  # noqa: PLC2701
from shallotmux.errors import EndpointError, EndpointRefused
from shallotmux.world import Endpoint, EndpointKind

PART = b'x' * 16_384
ENGINE = Endpoint('e-1', 'a', '127.0.0.1:9', EndpointKind.ENGINE)


@dataclass
class EndlessResponse:
    """An error response whose body begins as given and never ends."""

    start: bytes
    status: int = 503
    headers: Mapping[str, str] = field(default_factory=dict)
    read_bytes: int = 0

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the start, and far more parts than may be read."""
        yield self.start
        for _ in range(100 * MAX_ERROR_BYTES // len(PART)):
            self.read_bytes += len(PART)
            yield PART


@pytest.mark.parametrize('start', (b'', b'{"not_run": true', b'{"not_run": true}'))
async def test_error_body_without_end_is_given_up(start: bytes) -> None:
    """Guards against an engine in trouble that fills the memory of an instance."""
    response = EndlessResponse(start)
    error = await _build_error(ENGINE, response)
    assert isinstance(error, EndpointError)
    assert not isinstance(error, EndpointRefused)
    assert response.read_bytes <= MAX_ERROR_BYTES + len(PART)

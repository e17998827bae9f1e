"""Tests of documents that operators submit."""

from __future__ import annotations

from dataclasses import dataclass, field

import pytest

from shallotmux.authority import (
    Applied,
    Authority,
    Command,
    PutDocument,
    Result,
    decode_command,
    encode_command,
)
from shallotmux.control import DocumentService
from shallotmux.errors import DocumentInvalid
from shallotmux.routes import RouteDocument


@dataclass(slots=True)
class EncodingAuthority(Authority):
    """Records each command as another instance reads it."""

    versions: list[int] = field(default_factory=list)

    async def submit(self, command: Command) -> Result:
        """Encode and decode a command."""
        decoded = decode_command(encode_command(command))
        assert isinstance(decoded, PutDocument)
        self.versions.append(decoded.version)
        return Applied(1)


def decode(content: bytes) -> RouteDocument:
    """Decode a document that is only a version."""
    return RouteDocument(int(content), (), ())


@pytest.mark.parametrize('version', [1 << 64, 1 << 70, -(1 << 63) - 1, 10**300])
async def test_version_that_no_command_can_hold_is_refused(version: int) -> None:
    """Guards against a change whose connection is closed each time, without an answer."""
    authority = EncodingAuthority()
    with pytest.raises(DocumentInvalid, match='out of range'):
        await DocumentService(authority, decode).put(b'%d' % version)
    assert not authority.versions


@pytest.mark.parametrize('version', [0, 1, 1 << 53, 1 << 63, (1 << 64) - 1])
async def test_large_version_is_committed(version: int) -> None:
    """Guards against a valid document that is refused for its version."""
    authority = EncodingAuthority()
    await DocumentService(authority, decode).put(b'%d' % version)
    assert authority.versions == [version]

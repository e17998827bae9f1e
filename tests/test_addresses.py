"""Tests of addresses of the form ``HOST:PORT``."""

from __future__ import annotations

import pytest

from shallotmux.addresses import split_address


@pytest.mark.parametrize(
    ('address', 'host', 'port'), [('10.0.0.1:80', '10.0.0.1', 80), ('[::1]:0', '::1', 0)]
)
def test_address_is_split(address: str, host: str, port: int) -> None:
    """Guards against passing the brackets of IPv6 hosts to system calls."""
    assert split_address(address) == (host, port)


@pytest.mark.parametrize(
    'address',
    [
        *('', ':80', 'host', 'host:', 'host:x', 'host:-1', 'host:65536'),
        *('host:٨٠', 'host:²', 'host:80\n', f'host:{"9" * 5000}'),
    ],
)
def test_invalid_address_is_rejected(address: str) -> None:
    """Guards against invalid addresses in settings or lists that fail only on first use."""
    with pytest.raises(ValueError, match='HOST:PORT'):
        split_address(address)

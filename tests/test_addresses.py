"""Tests of addresses of the form ``HOST:PORT``."""

from __future__ import annotations

import pytest

from shallotmux.addresses import split_address


@pytest.mark.parametrize(
    ('address', 'host', 'port'), [('10.0.0.1:80', '10.0.0.1', 80), ('[::1]:0', '::1', 0)]
)
def test_parts_of_an_address(address: str, host: str, port: int) -> None:
    """Guards against brackets of IPv6 hosts that reach the system's calls."""
    assert split_address(address) == (host, port)


@pytest.mark.parametrize('address', ['', ':80', 'host', 'host:', 'host:x', 'host:-1', 'host:65536'])
def test_what_is_no_address(address: str) -> None:
    """Guards against entries of a list or of settings that fail only when they are used."""
    with pytest.raises(ValueError, match='HOST:PORT'):
        split_address(address)

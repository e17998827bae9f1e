"""Tests of membership messages that cannot be decoded."""

from __future__ import annotations

import msgspec
import pytest

from shallotmux.membership._messages import Report, decode_message, encode_message


@pytest.mark.parametrize('depth', [1_200, 100_000])
def test_message_with_a_deeply_nested_element_is_invalid(depth: int) -> None:
    """Guards against a message of a peer that ends its stream instead of being dropped."""
    encoded = encode_message(Report('entry-1', 'zone-a'))
    nested = b'%b\xc0' % (b'\x91' * depth)
    with pytest.raises(msgspec.DecodeError):
        decode_message(b'%c%b%b' % (encoded[0] + 1, encoded[1:], nested))

"""Tests of decoding what other programs send: content that is odd in each way ends nothing."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from shallotmux.errors import EndpointError
from shallotmux.fleet import (
    Announcement,
    Join,
    PeerLoads,
    Poll,
    decode_announcement,
    decode_announcement_answer,
    decode_join,
    decode_join_answer,
    decode_knowledge,
    decode_poll,
)
from shallotmux.fleet._load_messages import MAX_MESSAGE_BYTES
from shallotmux.origins import decode_origin_call
from shallotmux.origins._messages import decode_origin_answer
from shallotmux.platform import DIALECT
from shallotmux.ratelimits import EndpointLimits
from shallotmux.relaying import decode_relayed_answer, decode_relayed_request

#: Depth at which MessagePack decoders give up, far beyond their limit, and what fits a datagram.
DEPTHS = (1_200, 100_000)

#: Extra element of a message, as a later build may add one, nested deeper than decoders follow.
NESTED = b'%b\xc0' % (b'\x91' * (MAX_MESSAGE_BYTES - 40))
LOAD = msgspec.msgpack.encode(['a~1', 1, {}])
GRANT = msgspec.msgpack.encode(['permits', 'a~1', 1, {}])

DECODERS = (
    decode_announcement_answer,
    decode_poll,
    decode_knowledge,
    decode_announcement,
    decode_join,
    decode_join_answer,
    decode_origin_call,
    decode_origin_answer,
)


def extend_array(encoded: bytes, content: bytes) -> bytes:
    """Return an encoded short array with one more element."""
    return b''.join((bytes((encoded[0] + 1,)), encoded[1:], content))


@pytest.mark.parametrize('decode', DECODERS)
@pytest.mark.parametrize('depth', DEPTHS)
def test_deeply_nested_message_is_a_decode_error(
    decode: Callable[[bytes], object], depth: int
) -> None:
    """Guards against a message between instances that ends the process which receives it."""
    nested = b'%b\xc0' % (b'\x91' * depth)
    with pytest.raises(msgspec.DecodeError):
        decode(b'\x81\xa1?%b' % nested)
    with pytest.raises(msgspec.DecodeError):
        decode(b'\x9f%b' % nested)


@pytest.mark.parametrize('message', [LOAD, GRANT], ids=['load', 'permits'])
async def test_deeply_nested_datagram_is_dropped(message: bytes) -> None:
    """Guards against a datagram of anybody that ends an entry instance."""
    content = extend_array(message, NESTED)
    assert len(content) <= MAX_MESSAGE_BYTES
    EndpointLimits('a', 'a~1').receive(content)
    PeerLoads().receive(content)


@pytest.mark.parametrize('depth', DEPTHS)
def test_deeply_nested_relayed_messages_are_refused(depth: int) -> None:
    """Guards against a peer whose answer fails in another way than an invalid one."""
    nested = b'{"more":%b%b}' % (b'[' * depth, b']' * depth)
    assert decode_relayed_request(nested) is None
    with pytest.raises(EndpointError):
        decode_relayed_answer(nested, 'peer')


@settings(max_examples=200, deadline=None, derandomize=True)
@given(content=st.binary(max_size=200))
def test_any_bytes_are_a_message_or_a_decode_error(content: bytes) -> None:
    """Guards against an error of a decoder that its callers do not name."""
    for decode in DECODERS:
        with pytest.raises(msgspec.DecodeError):
            decode(content)
            raise msgspec.DecodeError('it was a message')
    decode_relayed_request(content)
    DIALECT.read_handle(content)


def test_valid_message_is_decoded() -> None:
    """Guards against a decoder that refuses what instances send."""
    assert decode_poll(msgspec.msgpack.encode(Poll('a~1', 1))) == Poll('a~1', 1)
    assert decode_join(msgspec.msgpack.encode(Join('a~1'))) == Join('a~1')


def test_join_request_of_a_build_without_zones_is_read() -> None:
    """Guards against builds side by side of which one cannot join the group that the other leads."""
    assert decode_join(msgspec.msgpack.encode({'identity': 'a~1'})) == Join('a~1', zone='')
    later = {'identity': 'a~1', 'zone': 'z', 'later': [1]}
    assert decode_join(msgspec.msgpack.encode(later)) == Join('a~1', 'z')
    assert decode_announcement(msgspec.msgpack.encode(later)) == Announcement('a~1', 'z')

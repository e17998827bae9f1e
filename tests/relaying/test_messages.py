"""Tests of the header that two instances exchange about a relayed request."""

from __future__ import annotations

import pytest

from shallotmux.errors import EndpointError
from shallotmux.relaying import (
    RelayedAnswer,
    RelayedRequest,
    RelayResult,
    decode_relayed_answer,
    decode_relayed_request,
    encode_relay_header,
)

INVALID = (None, b'', b'{', b'[]', b'{"sender":1}', b'\xff\xfe', b'"x"' * 1000)


def test_messages_are_read_as_written() -> None:
    """Guards against state that is lost on the way."""
    request = RelayedRequest('10.0.0.1:7780', 7, 'desk', 'v2', 1, 2, is_counted=True)
    assert decode_relayed_request(encode_relay_header(request)) == request
    answer = RelayedAnswer(RelayResult.REFUSED, 1, 2, 'v2', 77, 3, 'busy', 0.5)
    assert decode_relayed_answer(encode_relay_header(answer), 'p') == answer


@pytest.mark.parametrize('text', INVALID)
def test_invalid_headers_are_recognized(text: bytes | None) -> None:
    """Guards against a peer or a stranger whose header ends the connection of another request."""
    assert decode_relayed_request(text) is None
    with pytest.raises(EndpointError):
        decode_relayed_answer(text, 'p')

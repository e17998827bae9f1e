"""What two instances tell each other about a relayed request, as one header in each direction."""

from __future__ import annotations

import enum

import msgspec

from shallotmux.decoding import DECODE_ERRORS
from shallotmux.errors import EndpointError

#: Header that marks a relayed request and its answer. Only the listener for peers reads it; it is
#: removed from what callers send.
RELAY_HEADER = b'shallotmux-relayed'


class RelayResult(enum.Enum):
    """What became of a relayed request at the peer."""

    #: The answer is that of an endpoint.
    ANSWERED = 'answered'
    #: It was not run, and another peer would refuse it for the same reason.
    REFUSED = 'refused'
    #: It was not run, and another peer may take it.
    DECLINED = 'declined'
    #: It may have run.
    UNKNOWN = 'unknown'


class RelayedRequest(msgspec.Struct, frozen=True):
    """State of a request that an instance asks a peer to forward.

    :param sender: peer address of the instance that took the request.
    :param version: version of its route document. The peer must not use an older one.
    :param service: service that it chose.
    :param software: software version at which a stream goes on; None if it has not begun.
    :param runs: endpoints that may have run the request.
    :param sends: times that it was sent to an endpoint.
    :param is_counted: whether its run was counted for the customer.
    :param charged_s: time within which it must be sent to an endpoint, as it is charged to a quota; None
        without one. An earlier build sends it whenever it can.
    """

    sender: str
    version: int
    service: str
    software: str | None = None
    runs: int = 0
    sends: int = 0
    is_counted: bool = False
    charged_s: float | None = None


class RelayedAnswer(msgspec.Struct, frozen=True):
    """What a peer did with a request.

    :param runs: endpoints that may have run the request, including earlier ones.
    :param sends: times that it was sent to an endpoint, including earlier ones.
    :param software: software version of the endpoint that answers.
    :param start: number of the start of that endpoint.
    :param load: relayed requests in progress at the peer.
    :param reason: why the request was not answered.
    :param retry_after_s: time after which the caller may try again; None if unknown.
    :param has_used_charge: whether what was charged for it must not be given back, such as after a prefill.
    """

    result: RelayResult
    runs: int = 0
    sends: int = 0
    software: str = ''
    start: int = 0
    load: int = 0
    reason: str = ''
    retry_after_s: float | None = None
    has_used_charge: bool = False


_request_decoder = msgspec.json.Decoder(RelayedRequest)
_answer_decoder = msgspec.json.Decoder(RelayedAnswer)


def encode_relay_header(message: RelayedRequest | RelayedAnswer) -> bytes:
    """Return the value of the header."""
    return msgspec.json.encode(message)


def decode_relayed_request(text: bytes | None) -> RelayedRequest | None:
    """Return the message in a request's header, or None if it has no valid one."""
    try:
        return _request_decoder.decode(text or b'')
    except DECODE_ERRORS:
        return None


def decode_relayed_answer(text: bytes | None, peer: str) -> RelayedAnswer:
    """Return the message in an answer's header.

    :raises EndpointError: if it has no valid one.
    """
    try:
        return _answer_decoder.decode(text or b'')
    except DECODE_ERRORS as error:
        raise EndpointError(f'no valid relay header: {error}', step='relay', peer=peer) from error

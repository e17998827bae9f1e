"""Messages with which a published state and its changes are sent."""

from __future__ import annotations

import msgspec

from shallotmux.decoding import guard_decoder


class StateMark(msgspec.Struct, frozen=True, array_like=True):
    """A state of a publication.

    :param epoch: random number of the publication's incarnation; 0 if there is no state.
    :param position: number of changes of the publication up to the state.
    :param digest: hash of all items; equal for equal states of all publications.
    """

    epoch: int = 0
    position: int = 0
    digest: int = 0


#: Mark of a follower that has no state.
NO_STATE = StateMark()


class StateChange(msgspec.Struct, frozen=True, array_like=True):
    """What leads from one state to another.

    :param base: state that the receiver must have.
    :param mark: state that it has afterwards.
    :param is_whole: whether the items replace all items of the receiver.
    :param changed: items that were added or changed: key and encoded value.
    :param removed: keys of removed items; the receiver may never have had some of them.
    :param count: number of items afterwards.
    """

    base: StateMark
    mark: StateMark
    is_whole: bool = False
    changed: tuple[tuple[str, bytes], ...] = ()
    removed: tuple[str, ...] = ()
    count: int = 0


#: Decodes a :class:`StateChange`; raises :class:`msgspec.DecodeError` if the payload is not valid.
decode_change = guard_decoder(msgspec.msgpack.Decoder(StateChange).decode)


def encode_change(change: StateChange) -> bytes:
    """Encode a change as MessagePack."""
    return msgspec.msgpack.encode(change)

"""Errors of decoding what other programs send."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

import msgspec

__all__ = ('DECODE_ERRORS', 'guard_decoder')

Message = TypeVar('Message')

#: What decoding and checking bytes from outside can raise: content of another form, text that is not
#: valid UTF-8, numbers that are too large to convert, and values nested deeper than a decoder follows.
DECODE_ERRORS = (msgspec.MsgspecError, ValueError, OverflowError, RecursionError)


def guard_decoder(decode: Callable[[bytes], Message]) -> Callable[[bytes], Message]:
    """Return a decoder that raises :class:`msgspec.DecodeError` for whatever cannot be decoded."""

    def decode_guarded(content: bytes) -> Message:
        try:
            return decode(content)
        except msgspec.DecodeError:
            raise
        except DECODE_ERRORS as error:
            raise msgspec.DecodeError(str(error)) from error

    return decode_guarded

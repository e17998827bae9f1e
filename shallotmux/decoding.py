"""Errors of decoding what other programs send."""

from __future__ import annotations

import msgspec

__all__ = ('DECODE_ERRORS',)

#: What decoding and checking bytes from outside can raise: content of another form, text that is not
#: valid UTF-8, numbers that are too large to convert, and values nested deeper than a decoder follows.
DECODE_ERRORS = (msgspec.MsgspecError, ValueError, OverflowError, RecursionError)

"""Incremental decoder of the chunked transfer coding of HTTP/1.1."""

from __future__ import annotations

from shallotmux.errors import EndpointError

LINE_END = b'\r\n'

#: Maximum buffered length of an incomplete chunk size line or trailer line.
MAX_LINE_BYTES = 16_384

#: Maximum number of hexadecimal digits in a chunk size.
MAX_SIZE_DIGITS = 8


class ChunkedDecoder:
    """Decodes one body.

    Nearly every read of a streamed response holds exactly one chunk. This case has a fast path that
    does not go through the buffer.
    """

    def __init__(self) -> None:
        self._buffer = b''
        #: Bytes of the current chunk that have not been consumed yet, including its line end.
        self._remaining = 0
        self._in_trailers = False
        self.done = False

    @property
    def has_excess(self) -> bool:
        """Return whether bytes have arrived behind the end of the body."""
        return self.done and bool(self._buffer)

    def feed(self, received: bytes) -> bytes:
        """Decode received bytes and return the body bytes that they complete.

        :raises EndpointError: if the coding is invalid.
        """
        if not self._buffer and not self._remaining:
            content = _decode_single_chunk(received)
            if content is not None:
                return content
        self._buffer += received
        parts: list[bytes] = []
        advanced = True
        while advanced and not self.done:
            advanced = self._advance(parts)
        return b''.join(parts)

    def _advance(self, parts: list[bytes]) -> bool:
        """Consume one element of the buffer and return whether the buffer held one."""
        if self._in_trailers:
            return self._skip_trailer()
        if not self._remaining:
            return self._read_size()
        consumed = self._buffer[: self._remaining]
        if not consumed:
            return False
        self._buffer = self._buffer[len(consumed) :]
        # The line end may arrive separately from the content, or in two reads.
        parts.append(consumed[: max(self._remaining - len(LINE_END), 0)])
        self._remaining -= len(consumed)
        if not self._remaining and not LINE_END.endswith(consumed[-1:]):
            raise EndpointError('chunk without line end', step='stream')
        return True

    def _read_size(self) -> bool:
        line, found, rest = self._buffer.partition(LINE_END)
        if not found:
            self._check_length()
            return False
        size = parse_size(line)
        self._buffer = rest
        if size == 0:
            self._in_trailers = True
        else:
            self._remaining = size + len(LINE_END)
        return True

    def _skip_trailer(self) -> bool:
        line, found, rest = self._buffer.partition(LINE_END)
        if not found:
            self._check_length()
            return False
        self._buffer = rest
        self.done = not line
        return True

    def _check_length(self) -> None:
        if len(self._buffer) > MAX_LINE_BYTES:
            raise EndpointError('chunk size line or trailer is too long', step='stream')


def parse_size(line: bytes) -> int:
    """Return the size that a chunk size line gives.

    :raises EndpointError: if it is not a hexadecimal number of at most
        :data:`MAX_SIZE_DIGITS` digits.
    """
    digits = line.partition(b';')[0].strip()
    if not digits.isalnum() or len(digits) > MAX_SIZE_DIGITS:
        raise EndpointError('invalid chunk size', step='stream')
    try:
        return int(digits, 16)
    except ValueError:
        raise EndpointError('invalid chunk size', step='stream') from None


def _decode_single_chunk(received: bytes) -> bytes | None:
    """Return the content of the received chunk, or None unless exactly one chunk was received."""
    line_end = received.find(LINE_END, 0, MAX_SIZE_DIGITS + len(LINE_END))
    if line_end <= 0 or not received[:line_end].isalnum():
        return None
    size = parse_size(received[:line_end])
    content_start = line_end + len(LINE_END)
    if (
        size
        and len(received) == content_start + size + len(LINE_END)
        and received.endswith(LINE_END)
    ):
        return received[content_start:-2]
    return None

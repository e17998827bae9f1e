"""Decode the chunked transfer coding of HTTP/1.1 as it arrives."""

from __future__ import annotations

from shallotmux.errors import EndpointError

LINE_END = b'\r\n'

#: Longest size line or trailer section that is read.
MAX_LINE_BYTES = 16_384

#: Hexadecimal digits of the largest chunk that is accepted.
MAX_SIZE_DIGITS = 8


class ChunkedDecoder:
    """Decodes one body.

    Nearly every read of a streamed answer holds one whole chunk, which is recognized without
    copying the rest of the buffer.
    """

    def __init__(self) -> None:
        self._buffer = b''
        #: Bytes of the current chunk that are missing, with its line end.
        self._missing = 0
        self._in_trailers = False
        self.done = False

    def feed(self, received: bytes) -> bytes:
        """Return the body bytes that become known with some received bytes.

        :raises EndpointError: if the coding is broken.
        """
        if not self._buffer and not self._missing:
            whole = _read_single(received)
            if whole is not None:
                return whole
        self._buffer += received
        parts: list[bytes] = []
        advanced = True
        while advanced and not self.done:
            advanced = self._advance(parts)
        return b''.join(parts)

    def _advance(self, parts: list[bytes]) -> bool:
        """Consume one element of the buffer and tell whether that was possible."""
        if self._in_trailers:
            return self._skip_trailer()
        if not self._missing:
            return self._read_size()
        taken = self._buffer[: self._missing]
        if not taken:
            return False
        self._buffer = self._buffer[len(taken) :]
        # The line end after the content may arrive apart from it, or in two halves.
        parts.append(taken[: max(self._missing - len(LINE_END), 0)])
        self._missing -= len(taken)
        if not self._missing and not LINE_END.endswith(taken[-1:]):
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
            self._missing = size + len(LINE_END)
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
    """Return the size that a chunk begins with.

    :raises EndpointError: if it is not a hexadecimal number within bounds.
    """
    digits = line.partition(b';')[0].strip()
    if not digits.isalnum() or len(digits) > MAX_SIZE_DIGITS:
        raise EndpointError('invalid chunk size', step='stream')
    try:
        return int(digits, 16)
    except ValueError:
        raise EndpointError('invalid chunk size', step='stream') from None


def _read_single(received: bytes) -> bytes | None:
    """Return the content of a read that holds exactly one chunk, or None."""
    start = received.find(LINE_END, 0, MAX_SIZE_DIGITS + len(LINE_END))
    if start <= 0 or not received[:start].isalnum():
        return None
    size = parse_size(received[:start])
    begin = start + len(LINE_END)
    if size and len(received) == begin + size + len(LINE_END) and received.endswith(LINE_END):
        return received[begin:-2]
    return None

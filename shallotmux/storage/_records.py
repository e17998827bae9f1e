"""Encoding of records with length, sequence number and checksums, and detection of damage."""

from __future__ import annotations

import struct
import zlib
from collections.abc import Iterator

from shallotmux.storage._filesystem import ReadFile

#: Marks the start of a record.
MAGIC = b'SMXR'
#: Magic, payload length, sequence number, payload checksum.
_FIELDS = struct.Struct('<4sIQI')
_CHECKSUM = struct.Struct('<I')
HEADER_SIZE = _FIELDS.size + _CHECKSUM.size
#: Bytes read at once from what follows the last complete record.
READ_SIZE = 1 << 16
#: Smallest unit that a disk writes atomically, in bytes.
BLOCK_SIZE = 512


class CorruptRecord(Exception):
    """A record is damaged, and not merely torn by an interrupted write."""

    def __init__(self, offset: int, reason: str) -> None:
        super().__init__(f'{reason} at offset {offset}')


def pack_record(sequence: int, payload: bytes) -> bytes:
    """Return the encoding of a record."""
    fields = _FIELDS.pack(MAGIC, len(payload), sequence, zlib.crc32(payload))
    return fields + _CHECKSUM.pack(zlib.crc32(fields)) + payload


class RecordReader:
    """Reads the records of a file one at a time, up to a torn tail.

    Only the last write can be torn, since each is synced before the next. A damaged record counts
    as torn if no complete record follows and if the file either ends within the record or holds a
    block of zeros there, as a block that was never written does. A damaged last record that was
    written completely may have been acknowledged, so it is an error.
    """

    def __init__(self, file: ReadFile) -> None:
        self._file = file
        #: Number of complete records read.
        self.count = 0
        #: Size of the complete records in bytes.
        self.size = 0
        #: Offset of the last complete record.
        self.last_start = 0
        #: Whether a torn tail follows the complete records; valid after the last one.
        self.has_torn_tail = False

    def __iter__(self) -> Iterator[bytes]:
        """Yield the payloads of the complete records.

        :raises CorruptRecord: if the damage is not a torn tail.
        """
        while True:
            header = self._file.read(HEADER_SIZE)
            if not header:
                return
            length = _payload_length(header)
            if length is None:
                self._check_torn(header)
                return
            sequence = _FIELDS.unpack_from(header)[2]
            if sequence != self.count:
                raise CorruptRecord(self.size, f'found record {sequence} instead of {self.count}')
            payload = self._file.read(length)
            if not _is_complete(header, payload):
                self._check_torn(header + payload)
                return
            self.count += 1
            self.last_start = self.size
            self.size += len(header) + len(payload)
            yield payload

    def _check_torn(self, start: bytes) -> None:
        """Check that the rest of the file, which begins with an incomplete record, is a torn tail."""
        rest = b''.join((start, *iter(lambda: self._file.read(READ_SIZE), b'')))
        _check_torn(rest, self.size)
        self.has_torn_tail = True


def _payload_length(header: bytes) -> int | None:
    """Return the length of a record's payload, or None if the header is incomplete or damaged."""
    if len(header) < HEADER_SIZE:
        return None
    magic, length, _, _ = _FIELDS.unpack_from(header)
    is_valid = _CHECKSUM.unpack_from(header, _FIELDS.size)[0] == _header_checksum(header)
    return length if is_valid and magic == MAGIC else None


def _is_complete(header: bytes, payload: bytes) -> bool:
    """Return whether a payload is that of a valid header."""
    _, length, _, checksum = _FIELDS.unpack_from(header)
    return len(payload) == length and zlib.crc32(payload) == checksum


def _header_checksum(header: bytes) -> int:
    return zlib.crc32(header[: _FIELDS.size])


def _check_torn(rest: bytes, offset: int) -> None:
    """Check that the content from an incomplete record on is a torn tail.

    :param offset: position of the record in the file.
    """
    next_start = rest.find(MAGIC, 1)
    while next_start != -1:
        if _holds_record(rest, next_start):
            raise CorruptRecord(offset, 'damaged record before a complete one')
        next_start = rest.find(MAGIC, next_start + 1)
    if not _is_truncated(rest) and not _has_unwritten_block(rest, offset):
        raise CorruptRecord(offset, 'damaged record that was written completely')


def _holds_record(rest: bytes, start: int) -> bool:
    header = rest[start : start + HEADER_SIZE]
    length = _payload_length(header)
    if length is None:
        return False
    payload_start = start + HEADER_SIZE
    return _is_complete(header, rest[payload_start : payload_start + length])


def _is_truncated(rest: bytes) -> bool:
    """Return whether the file ends within the record."""
    if len(rest) < HEADER_SIZE:
        return True
    length = _payload_length(rest[:HEADER_SIZE])
    return length is not None and HEADER_SIZE + length > len(rest)


def _has_unwritten_block(rest: bytes, offset: int) -> bool:
    """Return whether a block, or the part of one at either end, holds only zeros."""
    first_end = BLOCK_SIZE - offset % BLOCK_SIZE
    starts = [0, *range(first_end, len(rest), BLOCK_SIZE)]
    ends = [*starts[1:], len(rest)]
    return any(not any(rest[start:end]) for start, end in zip(starts, ends, strict=True))

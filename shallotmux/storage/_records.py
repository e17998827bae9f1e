"""Records with length, sequence number and checksums."""

from __future__ import annotations

import struct
import zlib
from dataclasses import dataclass

#: Marks the start of a record.
MAGIC = b'SMXR'
#: Magic, payload length, sequence number, payload checksum.
_FIELDS = struct.Struct('<4sIQI')
_CHECKSUM = struct.Struct('<I')
HEADER_SIZE = _FIELDS.size + _CHECKSUM.size
#: Smallest unit in which a disk writes or loses data, in bytes.
BLOCK_SIZE = 512


class CorruptRecord(Exception):
    """A record is damaged in a way that an interrupted write does not explain."""

    def __init__(self, offset: int, reason: str) -> None:
        super().__init__(f'{reason} at offset {offset}')


@dataclass(frozen=True, slots=True)
class Scan:
    """Payloads of the whole records of a file.

    :param size: bytes that they take; what follows is a torn tail.
    """

    payloads: tuple[bytes, ...]
    size: int


def pack_record(sequence: int, payload: bytes) -> bytes:
    """Return a record as stored."""
    fields = _FIELDS.pack(MAGIC, len(payload), sequence, zlib.crc32(payload))
    return fields + _CHECKSUM.pack(zlib.crc32(fields)) + payload


def scan_records(content: bytes) -> Scan:
    """Return the records of a file up to a torn tail.

    Only the last write can be torn, since each is synced before the next. A damaged record counts
    as torn if the file ends within it or holds a block of zeros in it, which is how unwritten
    blocks read, and if no whole record follows. A damaged last record that was written in full
    may have been acknowledged, so it is an error.

    :raises CorruptRecord: if the damage is not a torn tail.
    """
    payloads: list[bytes] = []
    offset = 0
    while offset < len(content):
        payload = _read_record(content, offset, len(payloads))
        if payload is None:
            _check_torn(content, offset)
            break
        payloads.append(payload)
        offset += HEADER_SIZE + len(payload)
    return Scan(tuple(payloads), offset)


def _read_record(content: bytes, offset: int, sequence: int | None) -> bytes | None:
    """Return a record's payload, or None if it is not whole."""
    start = offset + HEADER_SIZE
    if start > len(content):
        return None
    header = content[offset:start]
    magic, length, found, checksum = _FIELDS.unpack_from(header)
    if magic != MAGIC or _CHECKSUM.unpack_from(header, _FIELDS.size)[0] != _header_sum(header):
        return None
    if sequence is not None and found != sequence:
        raise CorruptRecord(offset, f'record {found} stands in place of {sequence}')
    payload = content[start : start + length]
    return payload if len(payload) == length and zlib.crc32(payload) == checksum else None


def _header_sum(header: bytes) -> int:
    return zlib.crc32(header[: _FIELDS.size])


def _check_torn(content: bytes, offset: int) -> None:
    following = content.find(MAGIC, offset + 1)
    while following != -1:
        if _read_record(content, following, None) is not None:
            raise CorruptRecord(offset, 'damaged record before a whole one')
        following = content.find(MAGIC, following + 1)
    if not _is_cut(content, offset) and not _has_unwritten_block(content, offset):
        raise CorruptRecord(offset, 'damaged record that was written in full')


def _is_cut(content: bytes, offset: int) -> bool:
    """Return whether the file ends within the record."""
    header = content[offset : offset + HEADER_SIZE]
    if len(header) < HEADER_SIZE:
        return True
    _, length, _, _ = _FIELDS.unpack_from(header)
    is_header_whole = _CHECKSUM.unpack_from(header, _FIELDS.size)[0] == _header_sum(header)
    return is_header_whole and offset + HEADER_SIZE + length > len(content)


def _has_unwritten_block(content: bytes, offset: int) -> bool:
    """Return whether a block from an offset on, or the part of one, holds only zeros."""
    starts = [offset, *range(offset - offset % BLOCK_SIZE + BLOCK_SIZE, len(content), BLOCK_SIZE)]
    ends = [*starts[1:], len(content)]
    return any(not any(content[start:end]) for start, end in zip(starts, ends, strict=True))

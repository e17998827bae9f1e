"""Encoding of records with length, sequence number and checksums, and detection of damage."""

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
#: Smallest unit that a disk writes atomically, in bytes.
BLOCK_SIZE = 512


class CorruptRecord(Exception):
    """A record is damaged, and not merely torn by an interrupted write."""

    def __init__(self, offset: int, reason: str) -> None:
        super().__init__(f'{reason} at offset {offset}')


@dataclass(frozen=True, slots=True)
class Scan:
    """Payloads of the complete records of a file.

    :param size: size of the complete records in bytes; any content after them is a torn tail.
    """

    payloads: tuple[bytes, ...]
    size: int


def pack_record(sequence: int, payload: bytes) -> bytes:
    """Return the encoding of a record."""
    fields = _FIELDS.pack(MAGIC, len(payload), sequence, zlib.crc32(payload))
    return fields + _CHECKSUM.pack(zlib.crc32(fields)) + payload


def scan_records(content: bytes) -> Scan:
    """Return the records of a file up to a torn tail.

    Only the last write can be torn, since each is synced before the next. A damaged record counts
    as torn if no complete record follows and if the file either ends within the record or holds a
    block of zeros there, as a block that was never written does. A damaged last record that was
    written completely may have been acknowledged, so it is an error.

    :raises CorruptRecord: if the damage is not a torn tail.
    """
    payloads: list[bytes] = []
    offset = 0
    while offset < len(content):
        payload = _parse_record(content, offset, len(payloads))
        if payload is None:
            _check_torn(content, offset)
            break
        payloads.append(payload)
        offset += HEADER_SIZE + len(payload)
    return Scan(tuple(payloads), offset)


def _parse_record(content: bytes, offset: int, sequence: int | None) -> bytes | None:
    """Return a record's payload, or None if the record is incomplete or damaged."""
    start = offset + HEADER_SIZE
    if start > len(content):
        return None
    header = content[offset:start]
    magic, length, found_sequence, checksum = _FIELDS.unpack_from(header)
    if magic != MAGIC or _CHECKSUM.unpack_from(header, _FIELDS.size)[0] != _header_checksum(header):
        return None
    if sequence is not None and found_sequence != sequence:
        raise CorruptRecord(offset, f'found record {found_sequence} instead of {sequence}')
    payload = content[start : start + length]
    return payload if len(payload) == length and zlib.crc32(payload) == checksum else None


def _header_checksum(header: bytes) -> int:
    return zlib.crc32(header[: _FIELDS.size])


def _check_torn(content: bytes, offset: int) -> None:
    next_offset = content.find(MAGIC, offset + 1)
    while next_offset != -1:
        if _parse_record(content, next_offset, None) is not None:
            raise CorruptRecord(offset, 'damaged record before a complete one')
        next_offset = content.find(MAGIC, next_offset + 1)
    if not _is_truncated(content, offset) and not _has_unwritten_block(content, offset):
        raise CorruptRecord(offset, 'damaged record that was written completely')


def _is_truncated(content: bytes, offset: int) -> bool:
    """Return whether the file ends within the record."""
    header = content[offset : offset + HEADER_SIZE]
    if len(header) < HEADER_SIZE:
        return True
    _, length, _, _ = _FIELDS.unpack_from(header)
    is_header_valid = _CHECKSUM.unpack_from(header, _FIELDS.size)[0] == _header_checksum(header)
    return is_header_valid and offset + HEADER_SIZE + length > len(content)


def _has_unwritten_block(content: bytes, offset: int) -> bool:
    """Return whether a block, or the part of one at either end, holds only zeros from an offset on."""
    starts = [offset, *range(offset - offset % BLOCK_SIZE + BLOCK_SIZE, len(content), BLOCK_SIZE)]
    ends = [*starts[1:], len(content)]
    return any(not any(content[start:end]) for start, end in zip(starts, ends, strict=True))

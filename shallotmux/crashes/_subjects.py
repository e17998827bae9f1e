"""Numbers that identify requests, prompt parts and streams in messages between instances."""

from __future__ import annotations

import hashlib

#: Size of the hash. It must fit into a 64-bit integer of a message.
DIGEST_BYTES = 8


def digest_subject(content: bytes) -> int:
    """Return the number of a request, of a prompt part or of a stream."""
    return int.from_bytes(hashlib.blake2b(content, digest_size=DIGEST_BYTES).digest())

"""Assign prefixes to engines by rendezvous hashing."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable


def rank_owners(key: bytes, identities: Iterable[str]) -> list[str]:
    """Return engine identities by descending preference for a key; the first one is the owner.

    All instances compute the same order from the same engines without communication. Adding or
    removing an engine changes the owner only of keys that it gains or loses.

    :param key: identity of a prefix.
    """
    return sorted(identities, key=lambda identity: _score(key, identity), reverse=True)


def _score(key: bytes, identity: str) -> bytes:
    return hashlib.blake2b(identity.encode(), key=key[:64], digest_size=8).digest()

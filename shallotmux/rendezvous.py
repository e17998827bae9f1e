"""Assign keys to engines or instances by rendezvous hashing."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable


def rank_owners(key: bytes, identities: Iterable[str]) -> list[str]:
    """Return identities by descending preference for a key; the first one is the owner.

    All instances compute the same order from the same identities without communication. Adding or
    removing one changes the owner only of keys that it gains or loses.

    :param key: at most 64 bytes, for example the identity of a prefix.
    """
    return sorted(identities, key=lambda identity: _score(key, identity), reverse=True)


def _score(key: bytes, identity: str) -> bytes:
    return hashlib.blake2b(identity.encode(), key=key[:64], digest_size=8).digest()

"""Agree on the engines of a prefix without talking: rendezvous hashing."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable


def rank_homes(key: bytes, identities: Iterable[str]) -> list[str]:
    """Return identities by descending preference for a key.

    Each instance computes the same order from the same engines, and an engine that comes or goes
    moves only the keys that it wins or loses.
    """
    return sorted(identities, key=lambda identity: _score(key, identity), reverse=True)


def _score(key: bytes, identity: str) -> bytes:
    return hashlib.blake2b(identity.encode(), key=key[:64], digest_size=8).digest()

"""Customer keys: records of the secrets by which callers authenticate."""

from __future__ import annotations

import hashlib
import hmac
import secrets
from dataclasses import dataclass, field, replace

from shallotmux.authority._codec import registry
from shallotmux.authority._results import Applied, Refused
from shallotmux.world import CustomerKey

#: Prefix by which secret scanners recognize a leaked key.
SECRET_PREFIX = 'sk-shallot-'

#: Number of random bytes in a secret.
SECRET_BYTES = 24


@dataclass(frozen=True, slots=True)
class CreateKey:
    """Adds a key, which holds only the digest of its secret."""

    operation_id: str
    key: CustomerKey


@dataclass(frozen=True, slots=True)
class WithdrawKey:
    """Withdraws a key permanently."""

    operation_id: str
    key_id: str


registry.register(CreateKey, WithdrawKey, CustomerKey)


@dataclass(slots=True)
class KeyState:
    """Keys by id, and ids by the digest of the secret."""

    keys: dict[str, CustomerKey] = field(default_factory=dict)
    ids_by_digest: dict[str, str] = field(default_factory=dict)

    def apply(self, command: CreateKey | WithdrawKey, revision: int) -> Applied | Refused:
        """Add or withdraw a key."""
        match command:
            case CreateKey(key=key):
                if key.key_id in self.keys:
                    return Refused(f'key {key.key_id!r} exists already')
                self._store(key)
            case WithdrawKey(key_id=key_id):
                stored = self.keys.get(key_id)
                if stored is None:
                    return Refused(f'key {key_id!r} does not exist')
                self._store(replace(stored, withdrawn=True))
        return Applied(revision)

    def by_digest(self, digest: str) -> CustomerKey | None:
        """Return the key whose secret has this digest, withdrawn or not.

        Digests are keyed hashes, so the duration of a lookup reveals nothing about a secret.
        """
        return self.keys.get(self.ids_by_digest.get(digest, ''))

    def dump(self) -> list[bytes]:
        """Return the keys for a snapshot."""
        return [registry.encode(key) for key in self.keys.values()]

    def restore(self, dumped: list[bytes]) -> None:
        """Load the keys of a snapshot."""
        for each in dumped:
            self._store(registry.decode(each))

    def _store(self, key: CustomerKey) -> None:
        self.keys[key.key_id] = key
        self.ids_by_digest[key.digest] = key.key_id


def digest_secret(secret: str, pepper: bytes) -> str:
    """Return the keyed hash under which a secret is stored.

    :param pepper: key of the hash, shared by the instances of a fleet.
    """
    return hmac.new(pepper, secret.encode(), hashlib.sha256).hexdigest()


def create_secret(customer: str, pepper: bytes) -> tuple[str, CustomerKey]:
    """Create a secret, which is shown only once, and the key that is stored for it."""
    secret = SECRET_PREFIX + secrets.token_urlsafe(SECRET_BYTES)
    key = CustomerKey(f'key-{secrets.token_hex(6)}', customer, digest_secret(secret, pepper))
    return secret, key

"""Derivation of caller keys: a retry after a lost response gets the same secret."""

from __future__ import annotations

import base64
import hashlib
import hmac
import secrets
from typing import Any

import msgspec

from shallotmux.authority import SECRET_BYTES, SECRET_PREFIX, digest_secret
from shallotmux.decoding import DECODE_ERRORS
from shallotmux.errors import CallerError
from shallotmux.world import CustomerKey

#: Minimum length of a seed in characters; 32 hexadecimal digits hold 128 bits.
MIN_SEED_LENGTH = 32
MAX_SEED_LENGTH = 256
KEY_ID_BYTES = 6


def read_seed(body: bytes) -> str:
    """Return the random seed sent by an operator's client, or a new one.

    The seed is neither stored nor logged. Only a client that resends the same seed with the same
    operation id gets the same secret.

    :raises CallerError: if the body is invalid.
    """
    if not body:
        return secrets.token_hex(MIN_SEED_LENGTH)
    try:
        decoded: Any = msgspec.json.decode(body)
    except DECODE_ERRORS as error:
        raise _build_error('body', f'not valid JSON: {error}') from error
    if not isinstance(decoded, dict) or decoded.keys() - {'seed'}:
        raise _build_error('body', "a JSON object is expected whose only key is 'seed'")
    seed = decoded.get('seed', secrets.token_hex(MIN_SEED_LENGTH))
    if not isinstance(seed, str) or not MIN_SEED_LENGTH <= len(seed) <= MAX_SEED_LENGTH:
        raise _build_error(
            'seed', f'must be a random string of {MIN_SEED_LENGTH} to {MAX_SEED_LENGTH} characters'
        )
    return seed


def derive_key(
    customer: str, operation_id: str, seed: str, pepper: bytes
) -> tuple[str, CustomerKey]:
    """Return the secret and the stored key, derived from a seed and an operation id."""
    content = '\n'.join(('caller-key', customer, operation_id, seed)).encode()
    derived = hmac.new(pepper, content, hashlib.sha256).digest()[:SECRET_BYTES]
    secret = SECRET_PREFIX + base64.urlsafe_b64encode(derived).decode()
    id_digest = hashlib.sha256(f'{customer}\n{operation_id}'.encode()).hexdigest()
    key_id = f'key-{id_digest[: 2 * KEY_ID_BYTES]}'
    return secret, CustomerKey(key_id, customer, digest_secret(secret, pepper))


def _build_error(field: str, problem: str) -> CallerError:
    return CallerError(f'{field}: {problem}', status=400, code='invalid_body', param=field)

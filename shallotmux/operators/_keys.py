"""Create keys so that a resend after a lost answer gets the same secret."""

from __future__ import annotations

import base64
import hashlib
import hmac
import secrets
from typing import Any

import msgspec

from shallotmux.authority import SECRET_PREFIX, digest_secret
from shallotmux.errors import CallerError
from shallotmux.world import CustomerKey

#: Shortest seed, in characters; 32 hexadecimal digits hold 128 bits.
MIN_SEED = 32
MAX_SEED = 256
KEY_ID_BYTES = 6
SECRET_BYTES = 24


def read_seed(body: bytes) -> str:
    """Return the seed that an operator's client drew, or a new one.

    The seed is neither stored nor logged. Only a client that sends the same seed again under the
    same operation id gets the same secret.

    :raises CallerError: if the body is invalid.
    """
    if not body:
        return secrets.token_hex(MIN_SEED)
    try:
        plain: Any = msgspec.json.decode(body)
    except msgspec.DecodeError as error:
        raise _refuse('body', f'not valid JSON: {error}') from error
    if not isinstance(plain, dict) or plain.keys() - {'seed'}:
        raise _refuse('body', "a JSON object is expected whose only key is 'seed'")
    seed = plain.get('seed', secrets.token_hex(MIN_SEED))
    if not isinstance(seed, str) or not MIN_SEED <= len(seed) <= MAX_SEED:
        raise _refuse('seed', f'must be a random string of {MIN_SEED} to {MAX_SEED} characters')
    return seed


def derive_key(
    customer: str, operation_id: str, seed: str, pepper: bytes
) -> tuple[str, CustomerKey]:
    """Return the secret and the key that a seed and an operation id stand for."""
    content = '\n'.join(('caller-key', customer, operation_id, seed)).encode()
    drawn = hmac.new(pepper, content, hashlib.sha256).digest()[:SECRET_BYTES]
    secret = SECRET_PREFIX + base64.urlsafe_b64encode(drawn).decode()
    named = hashlib.sha256(f'{customer}\n{operation_id}'.encode()).hexdigest()
    key_id = f'key-{named[: 2 * KEY_ID_BYTES]}'
    return secret, CustomerKey(key_id, customer, digest_secret(secret, pepper))


def _refuse(field: str, problem: str) -> CallerError:
    return CallerError(f'{field}: {problem}', status=400, code='invalid_body', param=field)

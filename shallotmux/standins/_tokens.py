"""Deterministic output, which lets any engine resume a response of another one."""

from __future__ import annotations

import hashlib

import msgspec

VOCABULARY = (
    'horn', 'button', 'lot', 'grade', 'sheet', 'beech', 'offcut', 'block', 'match', 'order',
    'stock', 'width', 'shade', 'row', 'piece', 'sort',
)  # fmt: skip


def token_text(prompt_key: bytes, position: int) -> str:
    """Return the token at a position of the answer to a prompt."""
    digest = hashlib.blake2b(prompt_key + position.to_bytes(4, 'big'), digest_size=2).digest()
    return f'{VOCABULARY[digest[0] % len(VOCABULARY)]}{digest[1]} '


def prompt_key(payload: dict[str, object]) -> bytes:
    """Return a hash of the model and the prompt, which together determine the answer."""
    prompt = payload.get('messages', payload.get('prompt', ''))
    return hashlib.blake2b(msgspec.json.encode((payload.get('model'), prompt))).digest()


def encode_event(
    response_id: str, model: str, position: int, text: str, *, chat: bool, finish: str | None = None
) -> bytes:
    """Return a server-sent event with one chunk in the format of the caller API.

    :param position: number of tokens delivered so far, including this one.
    :param chat: whether the chunk is one of a chat completion instead of a text completion.
    :param finish: finish reason if the answer ends with this event, or None.
    """
    choice: dict[str, object] = {'index': 0, 'finish_reason': finish}
    if chat:
        choice['delta'] = {'content': text}
    else:
        choice['text'] = text
    body = {
        'id': response_id,
        'object': 'chat.completion.chunk' if chat else 'text_completion',
        'created': 0,
        'model': model,
        'choices': [choice],
    }
    return b'id: %d\ndata: %b\n\n' % (position, msgspec.json.encode(body))

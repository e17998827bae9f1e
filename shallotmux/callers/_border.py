"""Checks at the caller border that all kinds of requests share."""

from __future__ import annotations

import math
import re
from collections.abc import Awaitable, Callable
from urllib.parse import unquote_to_bytes

import msgspec
import trio

from shallotmux.authority import Authority, digest_secret
from shallotmux.errors import CallerError
from shallotmux.http import Message, Receive, Scope, Send, find_header, read_body

MAX_BODY_BYTES = 4_194_304
MAX_HEADER_BYTES = 32_768

#: Seconds in which a caller must have sent its whole body.
BODY_TIMEOUT_S = 30.0

#: Header with the seconds that the caller allows for its request.
TIMEOUT_HEADER = b'shallotmux-timeout-s'

#: Form of the secrets that are issued; see ``authority.create_secret``.
_SECRET = re.compile(rb'sk-shallot-[A-Za-z0-9_-]{20,64}')

#: How JSON spells characters by their numbers.
JSON_ESCAPE = bytes((0x5C, 0x75))

#: Times that a query may be percent-encoded and is still read for keys.
DECODINGS = 2


async def read_bounded_body(scope: Scope, receive: Receive) -> bytes:
    """Read a body within the limits of size and time.

    :raises CallerError: if the headers or the body are too large, or the body comes too slowly.
    """
    if sum(len(name) + len(content) for name, content in scope['headers']) > MAX_HEADER_BYTES:
        raise CallerError(
            f'headers exceed {MAX_HEADER_BYTES} bytes', status=431, code='headers_too_large'
        )
    declared = find_header(scope, b'content-length') or ''
    if len(declared) > len(str(MAX_BODY_BYTES)) or (
        declared.isdigit() and int(declared) > MAX_BODY_BYTES
    ):
        raise CallerError(f'body exceeds {MAX_BODY_BYTES} bytes', status=413, code='body_too_large')
    with trio.move_on_after(BODY_TIMEOUT_S):
        return await read_body(receive, MAX_BODY_BYTES)
    raise CallerError('the body came too slowly', status=408, code='body_timeout')


def check_json_type(scope: Scope) -> None:
    """Check the content type of a JSON body; a missing one is accepted.

    :raises CallerError: if the body is said to be something else.
    """
    given = find_header(scope, b'content-type')
    if given is not None and given.partition(';')[0].strip().lower() != 'application/json':
        raise CallerError(
            'content type is not application/json', status=415, code='wrong_content_type'
        )


def read_timeout(scope: Scope) -> float:
    """Return the seconds that the caller allows, or infinity.

    :raises CallerError: if the header holds no positive number.
    """
    given = find_header(scope, TIMEOUT_HEADER)
    if given is None:
        return math.inf
    try:
        timeout_s = float(given)
    except ValueError:
        timeout_s = 0.0
    if not timeout_s > 0:
        raise CallerError(
            'shallotmux-timeout-s is not a positive number', status=400, code='invalid_timeout'
        )
    return timeout_s


def holds_key(content: bytes, authority: Authority, pepper: bytes) -> bool:
    """Tell whether a text holds a secret that is the key of any customer."""
    state = authority.read()
    return any(
        state.key_by_digest(digest_secret(str(found, 'ascii'), pepper)) is not None
        for found in _SECRET.findall(content)
    )


def check_content(content: bytes, authority: Authority, pepper: bytes) -> None:
    """Refuse a request whose forwarded part holds a key, since no endpoint may see one.

    JSON may spell characters as escapes, so a body with escapes is decoded first.

    :raises CallerError: if it holds a key.
    """
    spellings = [content]
    for _ in range(DECODINGS):
        spellings.append(unquote_to_bytes(spellings[-1]) if b'%' in spellings[-1] else b'')
    if JSON_ESCAPE in content:
        spellings.append(_decode_json(content))
    if any(holds_key(each, authority, pepper) for each in spellings):
        raise CallerError(
            'the request holds an API key outside its header', status=400, code='key_in_request'
        )


def _decode_json(content: bytes) -> bytes:
    try:
        return msgspec.json.encode(msgspec.json.decode(content))
    except (msgspec.MsgspecError, UnicodeError):
        return b''


async def run_until_disconnect(
    receive: Receive, send: Send, work: Callable[[Send], Awaitable[None]]
) -> None:
    """Run a task and cancel it when the caller disconnects before the end of its answer.

    The server reports a disconnect also while it sends the last part of an answer; cancelling it
    then would leave the connection open.

    :param work: is given the function to send with.
    """
    error: Exception | None = None
    ending = trio.Event()

    async def send_part(message: Message) -> None:
        if message['type'] == 'http.response.body' and not message.get('more_body', False):
            ending.set()
        await send(message)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(_watch_disconnect, receive, nursery.cancel_scope, ending)
        error = await _capture(work, send_part)
        nursery.cancel_scope.cancel()
    if error is not None:
        raise error


async def _capture(work: Callable[[Send], Awaitable[None]], send: Send) -> Exception | None:
    """Return an error instead of raising it, since a nursery would wrap it in a group."""
    try:
        await work(send)
    except Exception as error:
        return error
    return None


async def _watch_disconnect(receive: Receive, scope: trio.CancelScope, ending: trio.Event) -> None:
    message = await receive()
    while message['type'] != 'http.disconnect':
        message = await receive()
    if not ending.is_set():
        scope.cancel()

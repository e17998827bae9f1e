"""Checks and disconnect handling that all kinds of caller requests share."""

from __future__ import annotations

import math
import re
from collections.abc import Awaitable, Callable
from urllib.parse import unquote_to_bytes

import trio

from shallotmux.authority import SECRET_BYTES, SECRET_PREFIX, Authority, digest_secret
from shallotmux.errors import CallerError
from shallotmux.http import MAX_HEADER_BYTES, Message, Receive, Scope, Send, find_header, read_body

MAX_BODY_BYTES = 4_194_304

#: Time within which a caller must have sent its whole body.
BODY_TIMEOUT_S = 30.0

#: Header with the timeout that the caller sets for its request, in seconds.
TIMEOUT_HEADER = b'shallotmux-timeout-s'

#: Characters of a secret after its prefix; base64 encodes three bytes as four characters.
ENCODED_SECRET_LENGTH = SECRET_BYTES * 4 // 3

#: Format of issued secrets; see ``authority.create_secret``. The look-ahead finds overlapping ones, and
#: the exact length those that are directly followed by characters which may stand in a secret.
_SECRET = re.compile(
    b'(?=(%b[A-Za-z0-9_-]{%d}))' % (re.escape(SECRET_PREFIX.encode()), ENCODED_SECRET_LENGTH)
)

#: Start of a JSON escape that gives a character by its code point.
JSON_ESCAPE = bytes((0x5C, 0x75))

#: Visible characters of ASCII by the last two digits of their JSON escapes.
_CHARACTERS = {b'%02x' % code: bytes((code,)) for code in range(0x21, 0x7F)}

#: Levels of percent-encoding that are decoded in the search for keys.
MAX_PERCENT_DECODINGS = 2


async def read_bounded_body(scope: Scope, receive: Receive) -> bytes:
    """Read a request body within the size and time limits.

    :raises CallerError: if the headers or the body are too large, or the body is not received
        within :data:`BODY_TIMEOUT_S`.
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
    """Check that the content type is JSON; a missing header is accepted.

    :raises CallerError: if the header names another type.
    """
    header = find_header(scope, b'content-type')
    if header is not None and header.partition(';')[0].strip().lower() != 'application/json':
        raise CallerError(
            'content type is not application/json', status=415, code='wrong_content_type'
        )


def read_timeout(scope: Scope) -> float:
    """Return the caller's timeout in seconds, or infinity without the header.

    :raises CallerError: if the header is not a positive number.
    """
    header = find_header(scope, TIMEOUT_HEADER)
    if header is None:
        return math.inf
    try:
        timeout_s = float(header)
    except ValueError:
        timeout_s = 0.0
    if not timeout_s > 0:
        raise CallerError(
            'shallotmux-timeout-s is not a positive number', status=400, code='invalid_timeout'
        )
    return timeout_s


def contains_key(content: bytes, authority: Authority, pepper: bytes) -> bool:
    """Return whether the content contains a valid API key of any customer."""
    state = authority.read()
    return any(
        state.key_by_digest(digest_secret(str(candidate, 'ascii'), pepper)) is not None
        for candidate in _SECRET.findall(content)
    )


def check_for_keys(content: bytes, authority: Authority, pepper: bytes) -> None:
    """Check that forwarded content contains no API key, since endpoints must not receive one.

    Percent-encoded content and JSON with character escapes are decoded before the search.

    :raises CallerError: if the content contains a key.
    """
    variants = [content]
    for _ in range(MAX_PERCENT_DECODINGS):
        variants.append(unquote_to_bytes(variants[-1]) if b'%' in variants[-1] else b'')
    if JSON_ESCAPE in content:
        variants.append(_unescape_json(content))
    if any(contains_key(each, authority, pepper) for each in variants):
        raise CallerError(
            'the request holds an API key outside its header', status=400, code='key_in_request'
        )


def _unescape_json(content: bytes) -> bytes:
    """Return JSON with its escapes of visible ASCII decoded.

    It is not decoded as a whole: it may be nested too deep, or hold a number that is too large for a
    decoder here, and not for that of the endpoint.
    """
    first, *others = content.split(b'%b00' % JSON_ESCAPE)
    decoded = (_CHARACTERS.get(each[:2].lower(), b' ') + each[2:] for each in others)
    return b''.join((first, *decoded))


async def run_until_disconnect(
    receive: Receive, send: Send, work: Callable[[Send], Awaitable[None]]
) -> None:
    """Run a function and cancel it when the caller disconnects before the last response part.

    The server also reports a disconnect while it sends the last part of a response; cancelling
    the function at that point would leave the connection open.

    :param work: called with the function that sends response messages.
    """
    error: Exception | None = None
    last_part_started = trio.Event()

    async def send_part(message: Message) -> None:
        if message['type'] == 'http.response.body' and not message.get('more_body', False):
            last_part_started.set()
        await send(message)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(_watch_disconnect, receive, nursery.cancel_scope, last_part_started)
        error = await _run_capturing_error(work, send_part)
        nursery.cancel_scope.cancel()
    if error is not None:
        raise error


async def _run_capturing_error(
    work: Callable[[Send], Awaitable[None]], send: Send
) -> Exception | None:
    """Return the error instead of raising it, since a nursery would wrap it in a group."""
    try:
        await work(send)
    except Exception as error:
        return error
    return None


async def _watch_disconnect(
    receive: Receive, scope: trio.CancelScope, last_part_started: trio.Event
) -> None:
    message = await receive()
    while message['type'] != 'http.disconnect':
        message = await receive()
    if not last_part_started.is_set():
        scope.cancel()

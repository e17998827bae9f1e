"""Tests of invalid caller requests, and of what endpoints receive of a request."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable, MutableMapping

import msgspec
import pytest
import trio
import trio.testing

from shallotmux.callers._request_checks import (
    JSON_ESCAPE,
    MAX_BODY_BYTES,
    _unescape_json,  # noqa: PLC2701
    run_until_disconnect,
)
from shallotmux.http import HttpRequest, fetch
from tests.requests._zone import PEPPER, Zone, ZoneLayout, run_zone

CHAT = '/v1/chat/completions'
MAX_RESPONSE_BYTES = 10_000_000
VALID_BODY = {'model': 'sorter', 'messages': [{'role': 'user', 'content': 'Sort lot 7.'}]}


def send(
    path: str, body: bytes, method: str = 'POST', **headers: str
) -> tuple[int, dict[str, object], Zone]:
    """Send one request with a valid key and return status, error and zone.

    ``SECRET`` stands for the key in path, body and headers, ``ESCAPED`` for the key with a JSON
    escape in the body.
    """
    answers = []

    async def work(zone: Zone) -> None:
        header_values = {name.replace('_', '-'): text for name, text in headers.items()}
        header_values = {
            name: text.replace('SECRET', zone.secrets['tailors'])
            for name, text in header_values.items()
        }
        secret = zone.secrets['tailors']
        request = HttpRequest(
            method,
            zone.entries[0].address,
            path.replace('SECRET', secret),
            body.replace(b'SECRET', secret.encode()).replace(b'ESCAPED', escape(secret)),
            {'authorization': f'Bearer {secret}', **header_values},
        )
        answers.append(await fetch(zone.network.client('10.9.0.1:0'), request, MAX_RESPONSE_BYTES))

    zone = run_zone(work, ZoneLayout(engines=1, services=1, entries=1))
    status, answer = answers[0]
    return status, msgspec.json.decode(answer).get('error', {}), zone


def escape(secret: str) -> bytes:
    """Return a secret with its first character as a JSON escape."""
    return JSON_ESCAPE + b'%04x' % ord(secret[0]) + secret[1:].encode()


def encode(**changes: object) -> bytes:
    """Return an encoded chat body with changed fields."""
    return msgspec.json.encode({**VALID_BODY, **changes})


@pytest.mark.parametrize(
    ('body', 'headers', 'status', 'code'),
    [
        (b'{"model"', {}, 400, 'invalid_body'),
        (b'[]', {}, 400, 'invalid_body'),
        (b'\xff\xfe', {}, 400, 'invalid_body'),
        (encode(messages=[{'role': 'user', 'content': 'x'}]).replace(b'x', b'\xc3'), {}, 400, 'invalid_body'),
        (encode(messages=[]), {}, 400, 'invalid_body'),
        (encode(max_tokens=0), {}, 400, 'invalid_body'),
        (encode(model='unknown'), {}, 404, 'model_not_found'),
        (encode(model='orders'), {}, 404, 'model_not_found'),
        (encode(), {'content_type': 'text/plain'}, 415, 'wrong_content_type'),
        (b' ' * 5_000_000, {}, 413, 'body_too_large'),
        (encode(), {'x_filler': 'x' * 40_000}, 431, 'headers_too_large'),
        (encode(stream=True), {'last_event_id': 'two'}, 400, 'invalid_last_event_id'),
        (encode(stream=True), {'last_event_id': '9' * 5000}, 400, 'invalid_last_event_id'),
        (encode(), {'shallotmux_response_id': 'x"y'}, 409, 'response_mismatch'),
        (encode(), {'shallotmux_timeout_s': 'nan'}, 400, 'invalid_timeout'),
        (encode(user='SECRET'), {}, 400, 'key_in_request'),
        (encode(user='ESCAPED'), {}, 400, 'key_in_request'),
    ],
)  # fmt: skip
def test_invalid_completion_is_refused(
    body: bytes, headers: dict[str, str], status: int, code: str | None
) -> None:
    """Guards against invalid input that reaches an engine or gets the wrong error."""
    actual_status, error, zone = send(CHAT, body, **headers)
    assert (actual_status, error.get('code')) == (status, code)
    if code is not None:
        assert error['not_run'] is True
        assert not zone.engines[0].runs


#: Numbers that JSON allows and some decoders refuse.
ODD_NUMBERS = (b'1e400', b'9' * 5000)


@pytest.mark.parametrize('number', ODD_NUMBERS)
@pytest.mark.parametrize('place', ['body', 'message'])
def test_number_that_cannot_be_forwarded_is_refused(number: bytes, place: str) -> None:
    """Guards against a number that fails where the request is sent, instead of where it is read."""
    message = {'role': 'user', 'content': 'x', 'seed': 'NUMBER'}
    body = encode(seed='NUMBER') if place == 'body' else encode(messages=[message, message])
    status, error, zone = send(CHAT, body.replace(b'"NUMBER"', number))
    assert (status, error.get('code')) == (400, 'invalid_body')
    assert not zone.engines[0].runs


#: Content that no JSON decoder of this program reads, before and after a string with an escape.
UNREADABLE = [(b'[' * 100_000, b']' * 100_000), *((b'[%b,' % each, b']') for each in ODD_NUMBERS)]


@pytest.mark.parametrize(('before', 'after'), [*UNREADABLE, (b'{', b'')])
def test_escaped_key_is_found_in_content_that_cannot_be_decoded(
    before: bytes, after: bytes
) -> None:
    """Guards against a key that is forwarded since something else in the body is odd."""
    body = b'%b"ESCAPED"%b' % (before, after)
    status, error, zone = send('/v1/services/stock/x', body)
    assert (status, error.get('code')) == (400, 'key_in_request')
    assert not zone.services[0].history


def test_key_of_which_all_is_escaped_is_found() -> None:
    """Guards against a key that is found only if it has few escapes, or those in lower case."""
    secret = b'sk-shallot-azAZ09_-kKoOxxxxxxxxxxxxxxxxxxxx'
    for form in ('%04x', '%04X'):
        escaped = b''.join(b'%b%b' % (JSON_ESCAPE, (form % each).encode()) for each in secret)
        assert _unescape_json(b'[%b' % escaped) == b'[%b' % secret


def test_search_for_escaped_keys_takes_little_time() -> None:
    """Guards against a body whose search stops the other requests of an instance."""
    for digits in (b'0073', b'00', b''):
        part = b'%b%b' % (JSON_ESCAPE, digits)
        began_at = time.process_time()
        _unescape_json(part * (MAX_BODY_BYTES // len(part)))
        assert time.process_time() - began_at < 1


@pytest.mark.parametrize(('before', 'after'), UNREADABLE)
def test_service_gets_content_that_cannot_be_decoded(before: bytes, after: bytes) -> None:
    """Guards against a call that fails as its body is searched for keys."""
    body = b'%b"%be9"%b' % (before, b'%b00' % JSON_ESCAPE, after)
    status, _, zone = send('/v1/services/stock/x', body)
    assert status == 200
    assert len(zone.services[0].history) == 1


@pytest.mark.parametrize(
    ('path', 'method', 'headers', 'status', 'code'),
    [
        ('/v1/services/nothing/x', 'POST', {}, 404, 'not_found'),
        ('/v1/services/sorter/x', 'POST', {}, 404, 'not_found'),
        ('/v1/services/stock/../x', 'POST', {}, 400, 'invalid_path'),
        ('/v1/services/stock/x', 'TRACE', {}, 405, 'method_not_allowed'),
        ('/v1/services/stock/x?key=SECRET', 'POST', {}, 400, 'key_in_request'),
        ('/v1/services/stock/x?key=%2573k%252dshallot', 'POST', {}, 200, None),
        ('/v1/services/stock/SECRET', 'POST', {}, 400, 'key_in_request'),
        ('/v1/services/stock/xSECRETx', 'POST', {}, 400, 'key_in_request'),
        ('/v1/services/stock/sk-shallot-SECRET_-9', 'POST', {}, 400, 'key_in_request'),
        ('/v1/services/stock/x', 'POST', {'x_request_id': 'SECRET'}, 400, 'key_in_request'),
        ('/v1/services/orders/x', 'POST', {'idempotency_key': 'a b'}, 400, 'invalid_idempotency_key'),
        ('/v2/x', 'POST', {}, 404, 'not_found'),
        ('/v1/chat/completions', 'GET', {}, 405, 'method_not_allowed'),
    ],
)  # fmt: skip
def test_service_call_is_checked(
    path: str, method: str, headers: dict[str, str], status: int, code: str | None
) -> None:
    """Guards against a service call that escapes its route or forwards a key."""
    actual_status, error, zone = send(path, b'job', method, **headers)
    assert (actual_status, error.get('code')) == (status, code)
    assert bool(zone.services[0].history) is (code is None)


def test_service_sees_no_key_headers() -> None:
    """Guards against forwarding hop-by-hop headers, or the caller's key in another header."""
    extra_headers = {
        'x_api_key': 'SECRET',
        'Api_Key': 'SECRET',
        'cookie': 'k=SECRET',
        'te': 'trailers',
    }
    status, _, zone = send(
        '/v1/services/stock/a%20b?lot=7', b'job', connection='x', **extra_headers
    )
    received = zone.services[0].history[0]
    assert status == 200
    assert (received.path, received.query) == ('/a%2520b', b'lot=7')
    assert zone.secrets['tailors'] not in repr(received)
    names = {name for name, _ in received.headers}
    assert names == {'shallotmux-call-id', 'shallotmux-deadline-s'}


def test_open_route_needs_no_key() -> None:
    """Guards against requiring a key on a route open to all, and not requiring it elsewhere."""

    async def work(zone: Zone) -> None:
        for route, status in (('stock', 200), ('orders', 401)):
            request = HttpRequest(
                'POST', zone.entries[0].address, f'/v1/services/{route}/x', route.encode()
            )
            actual_status, _ = await fetch(
                zone.network.client('10.9.0.1:0'), request, MAX_RESPONSE_BYTES
            )
            assert actual_status == status

    assert run_zone(work, ZoneLayout(engines=0)).executions == {'stock': 1}


def test_slow_body_times_out() -> None:
    """Guards against a caller that keeps a connection busy by sending its body slowly."""
    sent = []

    async def receive() -> dict[str, object]:
        await trio.sleep(10)
        more = trio.current_time() < 100
        return {'type': 'http.request', 'body': b'x', 'more_body': more}

    async def record(message: dict[str, object]) -> None:
        sent.append(message)

    async def work(zone: Zone) -> None:
        scope = {'type': 'http', 'method': 'POST', 'path': CHAT, 'headers': []}
        await zone.entries[0].app(scope, receive, record)  # type: ignore[arg-type]

    run_zone(work, ZoneLayout(entries=1))
    assert sent[0]['status'] == 408
    assert PEPPER not in repr(sent).encode()


def test_response_id_of_chat_is_refused_for_completion() -> None:
    """Guards against resuming a response of another customer, kind of completion or body."""

    async def work(zone: Zone) -> None:
        answer = await zone.request_completion('tailors', 'Sort lot 7.')
        for customer, path in (('cutters', CHAT), ('tailors', '/v1/completions')):
            body = {'model': 'sorter', 'prompt': 'x', 'stream': True, 'max_tokens': answer.tokens}
            body['messages'] = [{'role': 'user', 'content': 'Sort lot 7.'}]
            headers = {
                'authorization': f'Bearer {zone.secrets[customer]}',
                'shallotmux-response-id': answer.response_id,
            }
            request = HttpRequest(
                'POST', zone.entries[0].address, path, msgspec.json.encode(body), headers
            )
            status, _ = await fetch(zone.network.client('10.9.0.1:0'), request, MAX_RESPONSE_BYTES)
            assert status == 409

    run_zone(work, ZoneLayout())


def test_completion_is_resumed() -> None:
    """Guards against lost or repeated tokens when a text completion is resumed."""

    async def request_completion(zone: Zone, **headers: str) -> list[bytes]:
        body = {'model': 'sorter', 'prompt': 'Sort.', 'stream': True, 'max_tokens': 5}
        header_values = {'authorization': f'Bearer {zone.secrets["tailors"]}', **headers}
        request = HttpRequest(
            'POST',
            zone.entries[0].address,
            '/v1/completions',
            msgspec.json.encode(body),
            header_values,
        )
        _, answer = await fetch(zone.network.client('10.9.0.1:0'), request, MAX_RESPONSE_BYTES)
        return answer.split(b'\n\n')

    async def work(zone: Zone) -> None:
        full = await request_completion(zone)
        response_id = msgspec.json.decode(full[0].partition(b'data: ')[2])['id']
        for offset in (2, 5):
            headers = {'shallotmux-response-id': response_id, 'last-event-id': str(offset)}
            assert await request_completion(zone, **headers) == full[offset:]

    run_zone(work, ZoneLayout())


async def test_disconnect_during_last_part_does_not_cancel_it() -> None:
    """Guards against a connection left open by cancelling the last part of a response.

    The server also reports a disconnect while it sends the last part.
    """
    disconnected = trio.Event()
    sent = []

    async def receive() -> dict[str, object]:
        await disconnected.wait()
        return {'type': 'http.disconnect'}

    async def record(message: MutableMapping[str, object]) -> None:
        disconnected.set()
        await trio.testing.wait_all_tasks_blocked()
        sent.append(message)

    async def work(send_part: Callable[..., Awaitable[None]]) -> None:
        await send_part({'type': 'http.response.body', 'body': b'', 'more_body': False})

    await run_until_disconnect(receive, record, work)
    assert sent

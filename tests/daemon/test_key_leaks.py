"""Tests that a caller's key and prompt do not leak from an instance."""

from __future__ import annotations

import base64
from pathlib import Path
from urllib.parse import quote, quote_plus

import trio

from shallotmux.http import HttpRequest, fetch
from shallotmux.observability import write_logs
from tests.support.deployment import (
    MAX_BODY_BYTES,
    OPERATOR_TOKEN,
    PROMPT,
    Deployment,
    start_deployment,
)

VIEWS = ('customer', 'pool', 'route', 'key', 'customer/tailors/keys', 'status', 'decision', 'usage')


def encodings_of(text: str) -> list[bytes]:
    """Return a text in plain form, and in Base64 and percent encodings."""
    plain = text.encode()
    encodings = [plain, quote(text, safe='').encode(), quote_plus(text).encode()]
    encodings.extend(
        f'{"".join(f"%{byte:{form}}" for byte in plain)}'.encode() for form in ('02x', '02X')
    )
    for shift in range(3):
        padded = base64.b64encode(b'\0' * shift + plain)
        # The characters at both ends also depend on neighbouring bytes.
        encodings.append(padded[4 if shift else 0 : len(padded) // 4 * 4 - 4])
    return encodings


async def exercise_all_outcomes(deployment: Deployment, secret: str, key_id: str) -> None:
    """Send requests with every kind of outcome: success, rejections, and a failed engine."""
    assert await deployment.chat(secret, stream=True) == 200
    assert await deployment.chat(secret) == 200
    assert await deployment.chat(secret, model='absent') == 404
    assert await deployment.chat(secret, max_tokens=0) == 400
    assert await deployment.chat(f'{secret}x') == 401
    assert await deployment.send('/v1/completions', b'{', secret) == 400
    assert await deployment.send('/v1/other', b'', secret) == 404
    deployment.engine.behaviour.refuse = True
    assert await deployment.chat(secret) >= 500
    deployment.engine.behaviour.refuse = False
    await deployment.operator().withdraw_key(key_id)
    assert await deployment.chat(secret) == 401


async def collect_pages(deployment: Deployment) -> list[bytes]:
    """Return the responses of the operator API, and the metrics."""
    addresses = deployment.addresses
    headers = {'authorization': f'Bearer {OPERATOR_TOKEN}'}
    requests = [
        HttpRequest('GET', addresses.operators, f'/v1/{each}', b'', headers) for each in VIEWS
    ]
    requests.append(HttpRequest('GET', addresses.metrics, '/metrics'))
    pages = []
    for request in requests:
        status, page = await fetch(deployment.client, request, MAX_BODY_BYTES)
        assert status == 200
        pages.append(page)
    return pages


async def test_key_and_prompt_do_not_leak(nursery: trio.Nursery, tmp_path: Path) -> None:
    """Guards against a key that reaches endpoints, callers, operators, logs or metrics."""
    log = tmp_path / 'log'
    with write_logs(str(log), 'debug', {}):
        deployment = await start_deployment(nursery)
        created = await deployment.operator().create_key('tailors')
        await exercise_all_outcomes(deployment, created['secret'], created['key_id'])
        pages = await collect_pages(deployment)
    received = repr(deployment.engine.history).encode()
    state = deployment.daemon.authority.read().snapshot()
    outputs = {
        'logs': log.read_bytes(),
        'operator API and metrics': b'\n'.join(pages),
        'answers': b'\n'.join(deployment.answers),
        'engine': received,
        'state': state,
    }
    assert PROMPT.encode() in received
    assert created['key_id'].encode() in outputs['operator API and metrics']
    for form in encodings_of(created['secret']):
        assert [name for name, content in outputs.items() if form in content] == []
    for name in ('logs', 'operator API and metrics', 'state'):
        assert not any(form in outputs[name] for form in encodings_of(PROMPT))
    redactions = deployment.daemon.metrics.registry.get_sample_value(
        'shallotmux_log_redactions_total'
    )
    assert redactions == 0
    await deployment.client.close()


def test_search_finds_all_encodings() -> None:
    """Guards against a search that would miss an encoded key."""
    secret = 'sk-shallot-AbCdEf0123456789_-xyz'
    for shift in range(4):
        content = base64.b64encode(b'%b%bz' % (b'y' * shift, secret.encode()))
        assert any(form in content for form in encodings_of(secret))
    assert any(form in quote(secret, safe='').encode() for form in encodings_of(secret))

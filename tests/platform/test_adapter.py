"""Tests of the platform adapter: settings, configuration, list of endpoints, prompts."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from shallotmux.errors import DocumentInvalid, SettingsError, ShallotmuxError
from shallotmux.fleet import EngineRole
from shallotmux.forwarding import CallerRequest, RetryBudgetLimits
from shallotmux.membounds import ProcessLimits
from shallotmux.platform import (
    DIALECT,
    HEADERS,
    build_settings,
    decode_document,
    read_settings_file,
)
from shallotmux.platform._listing import parse_page
from shallotmux.programs import ProgramRole, ProgramTimes
from shallotmux.quotas import QuotaTerms
from shallotmux.routes import CustomerQuota, QuotaUnit, RouteKind

#: Nesting far beyond what decoders follow.
DEEP = 100_000

SETTINGS: dict[str, Any] = {
    'node-name': 'core-a-1',
    'role': 'control',
    'serves': ['control'],
    'ip': '10.1.0.33',
    'zone': 'a',
    'listen': {'control': '10.1.0.33:8367'},
    'port-range': [7780, 7795],
    'seeds': ['10.1.0.33:8367', '10.2.0.39:8367'],
    'bootstrap': True,
    'data-dir': '/data/control',
    'tolerate': {'machines': 2, 'zones': 1, 'regions': 0},
    'bounds': {
        'grace-s': 7,
        'catch-up-s': 5,
        'retry-budget-ratio': 0.1,
        'retry-slack': 12,
        'report-window-s': 4,
    },
    'cloud': {'address': '10.200.0.99:8362', 'rate-per-s': 44.0, 'duties': ['usage_report']},
    'unknown': {'ignored': [1]},
}

CONFIGURATION: dict[str, Any] = {
    'version': 7,
    'routes': [
        {
            'name': 'r-1',
            'host': 'shop.example',
            'path-prefix': '/a/',
            'kind': 'streaming',
            'timeout-ms': 4000,
            'target-latency-ms': 500,
            'priority': 1,
            'service': 'llm',
            'max-attempts': 2,
            'public': False,
            'sticky': True,
            'resumable': True,
            'target-gap-ms': 150,
        },
        {
            'name': 'r-2',
            'host': 'shop.example',
            'path-prefix': '/b/',
            'kind': 'unsafe',
            'timeout-ms': 2000,
            'split': [{'service': 'llm', 'weight': 90}, {'service': 'desk', 'weight': 10}],
        },
    ],
    'services': [
        {
            'name': 'llm',
            'health-path': '/healthz',
            'max-conns': 370,
            'engine': {'slots': 64, 'kv-token-bytes': 163840, 'link-mbps': 1.7e6},
            'scaling': {'min': 1, 'max': 4, 'spot-price': 0.15, 'zone-prices': {'a': 0.8}},
        },
        {'name': 'desk'},
    ],
    'limits': {'max-body-bytes': 1000, 'idle-timeout-ms': 9000},
    'tenants': [{'name': 'tailors', 'api-keys': ['k1', 'k2'], 'priority': 1}],
}


def write_settings(folder: Path, **changes: object) -> dict[str, str]:
    """Write a settings file, and return an environment that names it."""
    path = folder / 'boot.json'
    path.write_text(json.dumps({**SETTINGS, **changes}))
    return {'SHALLOTMUX_SETTINGS': str(path)}


def test_settings_are_translated(tmp_path: Path) -> None:
    """Guards against fields of the settings file that are mapped to the wrong setting."""
    settings = build_settings(read_settings_file(write_settings(tmp_path)))
    assert settings.role is ProgramRole.CONTROL
    assert settings.listen.peers == '10.1.0.33:7780'
    assert settings.listen.operators == '10.1.0.33:8367'
    assert settings.seeds == ('10.1.0.33:7780', '10.2.0.39:7780')
    assert (settings.tolerated_disk_losses, settings.bootstrap) == (2, True)
    assert (settings.reports_usage, settings.orders_endpoints) == (True, False)
    assert (settings.times.grace_s, settings.times.usage_window_s) == (7, 4)
    assert settings.times.replacement_s == 5
    assert settings.zone_traffic_ms_per_kb == pytest.approx(1.0)
    price: dict[str, object] = {'zone-traffic-ms-per-kb': 2.5}
    priced = write_settings(tmp_path, **price)
    assert build_settings(read_settings_file(priced)).zone_traffic_ms_per_kb == pytest.approx(2.5)


@pytest.mark.parametrize(
    ('changes', 'named'),
    [
        ({'seeds': 'none'}, 'seeds'),
        ({'ip': 5}, 'ip'),
        ({'cloud': {'duties': [1]}}, 'duties'),
        ({'seeds': ['10.1.0.33:99999']}, '99999'),
        ({'seeds': ['10.1.0.33:8367\n']}, 'HOST:PORT'),
        ({'seeds': ['10.1.0.33']}, 'HOST:PORT'),
        ({'listen': {'control': '10.1.0.33:x'}}, 'HOST:PORT'),
        ({'cloud': {'address': 'nowhere'}}, 'HOST:PORT'),
        ({'port-range': [0, 7795]}, 'port-range'),
        ({'port-range': [65_535, 65_536]}, 'port-range'),
        ({'port-range': [10**400, 7795]}, 'port-range'),
        ({'bounds': {'grace-s': 1e308}}, 'grace-s'),
        ({'bounds': {'report-window-s': -1}}, 'report-window-s'),
        ({'bounds': {'budget-window-s': -1}}, 'budget-window-s'),
        ({'bounds': {'budget-window-s': 1e9}}, 'budget-window-s'),
        ({'bounds': {'retry-budget-ratio': -1}}, 'retry-budget-ratio'),
        ({'bounds': {'retry-slack': 10**400}}, 'retry-slack'),
        ({'bounds': {'lease-ms': 1e300}}, 'lease-ms'),
        ({'bounds': {'catch-up-s': -1}}, 'catch-up-s'),
        ({'bounds': {'lease-ms': float('nan')}}, 'malformed'),
        ({'bounds': {'quota-window-s': -1}}, 'quota-window-s'),
        ({'bounds': {'quota-overage': 1e300}}, 'quota-overage'),
        ({'bounds': {'quota-slack': -1}}, 'quota-slack'),
        ({'zone-traffic-ms-per-kb': -1}, 'zone-traffic-ms-per-kb'),
        ({'cloud': {'rate-per-s': -5}}, 'rate-per-s'),
        ({'tolerate': {'machines': 10**20}}, 'machines'),
        ({'limits': {'memory-mb': -1}}, 'memory-mb'),
        ({'limits': {'max-fds': 10**20}}, 'max-fds'),
    ],
)
def test_invalid_settings_are_refused_by_name(
    tmp_path: Path, changes: dict[str, object], named: str
) -> None:
    """Guards against a program that starts with invalid settings."""
    with pytest.raises(SettingsError, match=named) as caught:
        read_settings_file(write_settings(tmp_path, **changes))
    assert 'boot.json' in str(caught.value)


def test_windows_of_length_0_have_the_default(tmp_path: Path) -> None:
    """Guards against a division by zero where a deployment sets no window."""
    bounds = {'report-window-s': 0, 'budget-window-s': 0, 'quota-window-s': 0}
    settings = build_settings(read_settings_file(write_settings(tmp_path, bounds=bounds)))
    assert settings.times.usage_window_s == ProgramTimes().usage_window_s
    assert settings.retry_budget.window_s == RetryBudgetLimits().window_s
    assert settings.quota_terms == QuotaTerms()


def test_quota_terms_are_translated(tmp_path: Path) -> None:
    """Guards against a bound of another length or size than the deployment sets."""
    bounds = {'quota-window-s': 6, 'quota-overage': 0.2, 'quota-slack': 190_000}
    settings = build_settings(read_settings_file(write_settings(tmp_path, bounds=bounds)))
    assert settings.quota_terms == QuotaTerms(6, 0.2, 190_000)


def decode_quota(**fields: object) -> CustomerQuota | None:
    """Return the quota of a customer with some fields."""
    tenant = {**CONFIGURATION['tenants'][0], **fields}
    content = json.dumps({**CONFIGURATION, 'tenants': [tenant]}).encode()
    return decode_document(content).customers[0].quota


def test_quotas_are_translated() -> None:
    """Guards against quotas that count something else than the document says."""
    fields = {'rate-per-s': 583_874, 'burst': 583_874, 'plain-tokens': 200}
    tokens = decode_quota(unit='token_stream', **fields)
    assert tokens == CustomerQuota(583_874, 583_874, QuotaUnit.TOKENS, 200)
    assert (tokens.amount_of(17_032), tokens.amount_of(None)) == (17_032, 200)
    requests = decode_quota(unit='request', **fields)
    assert requests is not None
    assert (requests.unit, requests.amount_of(17_032)) == (QuotaUnit.REQUESTS, 1)
    assert decode_quota(**fields) == requests


@pytest.mark.parametrize('rate', [0, -5, -(10**300)])
def test_quota_without_a_rate_is_no_limit(rate: float) -> None:
    """Guards against customers that are refused everything as they have no quota."""
    assert decode_quota() is None
    fields = {'rate-per-s': rate, 'burst': 10}
    assert decode_quota(**fields) is None


@pytest.mark.parametrize(
    ('counts', 'tokens'),
    [
        (b'17020,12', 17_032),
        (b' 1 , 2', 3),
        (None, None),
        (b'', None),
        (b'5', None),
        (b'1,2,3', None),
        (b'-1,2', None),
        (b'1,99999999999', None),
        (b'x,1', None),
    ],
)
def test_tokens_are_the_sum_of_both_counts(counts: bytes | None, tokens: int | None) -> None:
    """Guards against requests that count as less than they name, or odd counts that raise."""
    headers = () if counts is None else ((HEADERS.token_counts, counts),)
    request = CallerRequest(b'POST', b'/a/', headers, b'', 0.0)
    assert DIALECT.read_tokens(request) == tokens


@pytest.mark.parametrize(
    ('limits', 'expected'),
    [
        ({'memory-mb': 160, 'max-fds': 1638}, ProcessLimits(160_000_000, 1638)),
        ({'memory-mb': 0, 'max-fds': 0}, ProcessLimits()),
        ({}, ProcessLimits()),
    ],
)
def test_limits_of_the_machine_are_translated(
    tmp_path: Path, limits: dict[str, int], expected: ProcessLimits
) -> None:
    """Guards against a process that does not know the memory and descriptors of its machine."""
    settings = build_settings(read_settings_file(write_settings(tmp_path, limits=limits)))
    assert settings.limits == expected


@pytest.mark.parametrize(
    'content', [b'', b'{"node-name": "co', b'\xff', b'{"more":%b' % (b'[' * DEEP), b'[' * DEEP]
)
def test_unreadable_settings_are_refused(tmp_path: Path, content: bytes) -> None:
    """Guards against a file that is half written, or odd, and ends a process as it is reloaded."""
    path = tmp_path / 'boot.json'
    path.write_bytes(content)
    with pytest.raises(SettingsError, match='boot.json'):
        build_settings(read_settings_file({'SHALLOTMUX_SETTINGS': str(path)}))


def test_missing_settings_file_is_named(tmp_path: Path) -> None:
    """Guards against an error that does not name the missing file."""
    with pytest.raises(SettingsError, match='nowhere'):
        read_settings_file({'SHALLOTMUX_SETTINGS': str(tmp_path / 'nowhere')})


def test_configuration_is_translated() -> None:
    """Guards against fields of the configuration that are mapped to the wrong setting."""
    document = decode_document(json.dumps(CONFIGURATION).encode())
    first, second = document.routes
    assert document.version == 7
    assert (first.kind, first.has_prompt, first.is_resumable) == (RouteKind.STREAMING, True, True)
    assert (first.latency_objective_ms, first.gap_objective_ms) == (500, 150)
    assert [share.weight for share in second.shares] == [90, 10]
    engine, bounds = document.services[0].engine, document.services[0].bounds
    assert engine is not None
    assert bounds is not None
    assert (engine.slots, engine.token_bytes) == (64, 163840)
    assert (bounds.min_per_zone, bounds.max_per_zone, bounds.cheap_price) == (1, 4, 0.15)
    assert (document.limits.body_bytes, document.limits.idle_timeout_s) == (1000, 9)
    assert document.customers[0].keys == ('k1', 'k2')


@pytest.mark.parametrize(
    'content',
    [
        b'',
        b'{',
        b'[]',
        b'\xff\xfe',
        json.dumps(CONFIGURATION).encode()[:-9],
        json.dumps({**CONFIGURATION, 'version': 'seven'}).encode(),
        json.dumps({**CONFIGURATION, 'routes': [{'name': 'r'}]}).encode(),
        json.dumps(CONFIGURATION).replace('unsafe', 'sometimes').encode(),
    ],
)
def test_invalid_configuration_is_refused(content: bytes) -> None:
    """Guards against an invalid or truncated configuration that takes effect."""
    with pytest.raises(DocumentInvalid):
        decode_document(content)


WORKER: dict[str, Any] = {
    'id': 'i-1',
    'service': 'llm',
    'address': '10.0.0.9:8080',
    'zone': 'a',
    'state': 'ready',
    'slots': 64,
    'cold-remaining-ms': 0,
    'stage': 'prefill',
    'spot': True,
    'born': 1767821970570,
    'version': 'v1.1',
}


def make_page(*entries: object, token: str | None = None) -> bytes:
    """Return an encoded page of the list."""
    return json.dumps({'instances': entries, 'next-token': token}).encode()


def test_entry_is_translated() -> None:
    """Guards against fields of list entries that are mapped to the wrong field."""
    page = parse_page(make_page(WORKER, token='p-50'))
    endpoints = page.endpoints
    assert page.next_token == 'p-50'
    assert (endpoints[0].identity, endpoints[0].role, endpoints[0].is_cheap) == (
        'i-1',
        EngineRole.PREFILL,
        True,
    )
    assert endpoints[0].started_ms == 1767821970570
    assert endpoints[0].software_version == 'v1.1'


@pytest.mark.parametrize(
    'change',
    [
        {'id': 7},
        {'address': 'nowhere'},
        {'address': '10.0.0.9:99999'},
        {'state': 'unheard of'},
        {'slots': 'many'},
        {'zone': None},
        {'version': 3},
    ],
)
def test_invalid_entry_is_skipped(change: dict[str, object]) -> None:
    """Guards against one invalid entry that discards the list or misroutes requests."""
    page = parse_page(make_page({**WORKER, **change}, WORKER, 'text', None))
    assert [each.identity for each in page.endpoints] == ['i-1']


@pytest.mark.parametrize('missing', ['version', 'slots', 'cold-remaining-ms', 'zone', 'state'])
def test_entry_without_a_field_that_each_has_is_skipped(missing: str) -> None:
    """Guards against a server of another writer that is used as a worker."""
    incomplete = {name: field for name, field in WORKER.items() if name != missing}
    page = parse_page(make_page({**incomplete, 'id': 'x-1'}, WORKER))
    assert [each.identity for each in page.endpoints] == ['i-1']


@pytest.mark.parametrize(
    'unreadable',
    [
        b'{"id": "\xff\xfe", "service": "llm"}',
        # Half of a surrogate pair.
        b'{"id": "%cud800", "service": "llm"}' % 92,
        b'{"id": "x-1", "slots": %b}' % (b'9' * 400),
        b'{"id": "x-1", "slots": }',
        b'{"id": "x-1", "models": [{"name": "m"',
        b'"x-{1"',
        b'\xff',
        b'{"id": "x-1", %b}' % bytes(range(1, 32)),
    ],
)
@pytest.mark.parametrize('position', [0, 1, 2])
def test_entry_that_cannot_be_read_hides_no_other(unreadable: bytes, position: int) -> None:
    """Guards against a list that is refused as a whole, so that leaving workers are used on."""
    workers = [json.dumps({**WORKER, 'id': name}).encode() for name in ('i-1', 'i-2')]
    workers.insert(position, unreadable)
    content = b'{"instances":[%b],"next-token":"p-50"}' % b','.join(workers)
    page = parse_page(content)
    assert [each.identity for each in page.endpoints] == ['i-1', 'i-2']
    assert page.next_token == 'p-50'


def test_invalid_page_is_an_error() -> None:
    """Guards against an invalid page that is taken for an empty list."""
    with pytest.raises(ShallotmuxError):
        parse_page(b'{"instances":')


def test_prompt_is_read_from_headers() -> None:
    """Guards against prompts whose parts or sizes are parsed wrongly."""
    headers = (
        (HEADERS.model, b'm'),
        (HEADERS.token_counts, b'1460,80'),
        (HEADERS.prompt_parts, b'5c1e07a2:800,91bd3f06:410,e4402b7d:250'),
    )
    prompt = DIALECT.read_prompt(CallerRequest(b'POST', b'/', headers, b'', 0))
    assert prompt is not None
    assert (prompt.tokens, prompt.output_tokens) == (1460, 80)
    assert [part.tokens for part in prompt.parts] == [800, 410, 250]


@pytest.mark.parametrize('counts', [b'', b'many', b'1,2,3', b'1460'])
def test_invalid_prompt_is_none(counts: bytes) -> None:
    """Guards against a request that fails because its prompt headers are invalid."""
    headers = ((HEADERS.token_counts, counts),)
    assert DIALECT.read_prompt(CallerRequest(b'POST', b'/', headers, b'', 0)) is None


def test_handle_is_read_from_response() -> None:
    """Guards against a handle that is parsed from a response without one."""
    assert DIALECT.read_handle(b'{"kv-handle":"3fa0","tokens":1460,"version":1}') == '3fa0'
    assert DIALECT.read_handle(b'{"tokens":1460}') is None
    assert DIALECT.read_handle(b'not json') is None


def test_start_of_a_worker_is_read_from_its_report() -> None:
    """Guards against a worker that restarted and is taken for the one that was listed."""
    report = b'{"stage":"decode","models":[],"busy":false,"seq":2,"born":1767821970570}'
    assert DIALECT.read_start(report) == 1767821970570
    assert DIALECT.read_start(b'{"stage":"decode"}') is None
    for invalid in (b'not json', b'{"born":"today"}', b'[]', b'\xff'):
        with pytest.raises(ValueError):
            DIALECT.read_start(invalid)

"""Tests of what log lines tell of a request."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

from click.testing import CliRunner

from shallotmux.cli import main

REQUEST = 'r-17'


def line(kind: str, time_s: float, **fields: Any) -> str:
    """Return a log line as a collector keeps it."""
    message = {'message_type': f'shallotmux:{kind}', 'timestamp': time_s, **fields}
    return f'  12.1 entry-1 {json.dumps(message)}\n'


def explain(path: Path, *lines: str) -> str:
    """Return what the tool prints on the request."""
    log = path / 'entry.log'
    log.write_text(''.join(lines), encoding='utf-8')
    result = CliRunner().invoke(main, ['explain', '--log', str(log), REQUEST])
    assert result.exit_code == 0, result.output
    return result.output


def test_early_refusal_is_explained(tmp_path: Path) -> None:
    """Guards against an engineer who cannot tell a refusal from a failure."""
    shown = explain(
        tmp_path,
        line('request-refused', 2, request=REQUEST, status=503, reason='no route', version=7),
        line('request-refused', 3, request='other', status=401, reason='unknown key', version=7),
        'Traceback: no message\n',
    )
    assert 'Refused before anything was sent: 503 no route; configuration 7' in shown
    assert 'unknown key' not in shown


def test_unknown_outcome_is_explained(tmp_path: Path) -> None:
    """Guards against a broken attempt that shows only as a status."""
    failed = {'request': REQUEST, 'status': 502, 'reason': 'connection broke'}
    shown = explain(
        tmp_path,
        line('request-failed', 5, **failed, runs=1, left_ms=900),
        line('attempt', 4, request=REQUEST, endpoint='e-1', outcome='unknown', status=0),
    )
    assert shown.index('e-1: unknown') < shown.index('1 endpoints may have run it')


def test_late_stream_is_explained(tmp_path: Path) -> None:
    """Guards against a late stream whose queue cannot be told from a slow engine."""
    times = {'first_ms': 1200, 'gap_ms': 40}
    placed = {'expected_ms': 1100.0, 'wait_ms': 900.0, 'fetch_from': 'p-2'}
    shown = explain(
        tmp_path,
        line('placement', 1, request=REQUEST, decode='d-1', prefill='p-1', **placed),
        line(
            'attempt', 2, request=REQUEST, endpoint='d-1', outcome='delivered', status=200, **times
        ),
    )
    assert 'prompt to p-1, which fetches what it lacks from p-2' in shown
    assert '900.0 ms of them behind others' in shown
    assert 'first part 1200 ms' in shown
    assert 'longest gap' not in shown


def test_unknown_request_is_an_error(tmp_path: Path) -> None:
    """Guards against an empty answer that reads like "nothing happened"."""
    log = tmp_path / 'entry.log'
    log.write_text('', encoding='utf-8')
    result = CliRunner().invoke(main, ['explain', '--log', str(log), REQUEST])
    assert result.exit_code
    assert REQUEST in result.output

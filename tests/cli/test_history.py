"""Tests of the request history read from logs."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

from click.testing import CliRunner

from shallotmux.cli import main

REQUEST = 'r-17'


def log_line(kind: str, time_s: float, **fields: Any) -> str:
    """Return a log line as a log collector stores it."""
    message = {'message_type': f'shallotmux:{kind}', 'timestamp': time_s, **fields}
    return f'  12.1 entry-1 {json.dumps(message)}\n'


def run_explain(path: Path, *lines: str) -> str:
    """Return the output of ``shallotmux explain --log`` for the request."""
    log = path / 'entry.log'
    log.write_text(''.join(lines), encoding='utf-8')
    result = CliRunner().invoke(main, ['explain', '--log', str(log), REQUEST])
    assert result.exit_code == 0, result.output
    return result.output


def test_early_refusal_is_explained(tmp_path: Path) -> None:
    """Guards against output in which a refusal looks like a failure."""
    output = run_explain(
        tmp_path,
        log_line('request-refused', 2, request=REQUEST, status=503, reason='no route', version=7),
        log_line(
            'request-refused', 3, request='other', status=401, reason='unknown key', version=7
        ),
        'Traceback: no message\n',
    )
    assert 'Refused before anything was sent: 503 no route; configuration 7' in output
    assert 'unknown key' not in output


def test_unknown_outcome_is_explained(tmp_path: Path) -> None:
    """Guards against output that reports a failed attempt only as a status."""
    failed = {'request': REQUEST, 'status': 502, 'reason': 'connection broke'}
    output = run_explain(
        tmp_path,
        log_line('request-failed', 5, **failed, runs=1, left_ms=900),
        log_line('attempt', 4, request=REQUEST, endpoint='e-1', outcome='unknown', status=0),
    )
    assert output.index('e-1: unknown') < output.index('1 endpoints may have run it')


def test_late_stream_is_explained(tmp_path: Path) -> None:
    """Guards against output that does not distinguish queueing from a slow engine."""
    times = {'first_ms': 1200, 'gap_ms': 40}
    estimates = {'expected_ms': 1100.0, 'wait_ms': 900.0, 'fetch_from': 'p-2'}
    output = run_explain(
        tmp_path,
        log_line('placement', 1, request=REQUEST, decode='d-1', prefill='p-1', **estimates),
        log_line(
            'attempt', 2, request=REQUEST, endpoint='d-1', outcome='delivered', status=200, **times
        ),
    )
    assert 'prefill on p-1, which fetches cached parts from p-2' in output
    assert 'of which 900.0 ms waiting for other requests' in output
    assert 'first part 1200 ms' in output
    assert 'longest gap' not in output


def test_unknown_request_is_an_error(tmp_path: Path) -> None:
    """Guards against empty output that suggests that the request was not received."""
    log = tmp_path / 'entry.log'
    log.write_text('', encoding='utf-8')
    result = CliRunner().invoke(main, ['explain', '--log', str(log), REQUEST])
    assert result.exit_code
    assert REQUEST in result.output


def test_resumed_stream_is_explained(tmp_path: Path) -> None:
    """Guards against output that does not tell at which version a stream went on, or why not."""
    stream = {'request': REQUEST, 'resumes': 'r-16', 'after_event': '4'}
    output = run_explain(
        tmp_path,
        log_line('stream-resumed', 4, **stream, software='v1.2', known_from='control'),
        log_line(
            'attempt', 5, **stream, software='v1.2', endpoint='e-1', outcome='delivered', status=200
        ),
        log_line('stream-resumed', 6, **stream, refused='no endpoint is left'),
    )
    assert 'r-16 goes on after event 4 at version v1.2, known from control' in output
    assert 'e-1: delivered 200, after event 4, version v1.2' in output
    assert 'r-16 does not go on: no endpoint is left' in output

"""History of one request, reconstructed from the logs of entry programs."""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

#: First character of the JSON message in a log line; collectors prepend times and names.
JSON_START = '{'

#: Prefix of message types.
TYPE_PREFIX = 'shallotmux:'

#: Delay of the first part or gap between parts from which it is reported, in ms.
MIN_NOTABLE_DELAY_MS = 500


@dataclass(frozen=True, slots=True)
class Step:
    """One logged event of a request.

    :param time_s: wall-clock time of the log line in seconds.
    :param kind: message type without its prefix.
    """

    time_s: float
    kind: str
    text: str


def read_steps(lines: Iterable[str], request: str) -> list[Step]:
    """Return the steps of a request in chronological order; lines without a message are skipped.

    :param request: request id sent by the caller.
    """
    steps = [_to_step(each) for each in map(_parse, lines) if each.get('request') == request]
    return sorted(steps, key=lambda step: step.time_s)


def summarize_outcome(steps: Iterable[Step]) -> str:
    """Return one sentence on how a request ended."""
    final_steps = [
        step for step in steps if step.kind in {'attempt', 'request-failed', 'request-refused'}
    ]
    if not final_steps:
        return 'No log line shows how the request ended.'
    last = final_steps[-1]
    match last.kind:
        case 'request-refused':
            return f'Refused before anything was sent: {last.text}'
        case 'request-failed':
            return f'Ended without an answer from an endpoint: {last.text}'
    return f'Last attempt: {last.text}'


def _parse(line: str) -> dict[str, Any]:
    start = line.find(JSON_START)
    if start < 0:
        return {}
    try:
        message = json.loads(line[start:])
    except ValueError:
        return {}
    return message if isinstance(message, dict) else {}


def _to_step(message: dict[str, Any]) -> Step:
    kind = str(message.get('message_type', '')).removeprefix(TYPE_PREFIX)
    return Step(float(message.get('timestamp', 0)), kind, _format_message(kind, message))


def _format_message(kind: str, message: dict[str, Any]) -> str:
    match kind:
        case 'placement':
            return _format_placement(message)
        case 'attempt':
            return _format_attempt(message)
        case 'stream-resumed':
            return _format_resumed(message)
        case 'prefill-refused':
            return f'{message.get("endpoint")} refused the prefill: {message.get("status")}'
        case 'repeats-spent':
            return 'no separate prefill: the retry budget is exhausted'
        case 'request-refused':
            status, version = message.get('status'), message.get('version')
            return f'{status} {message.get("reason")}; configuration {version}'
        case 'request-failed':
            runs, left_ms = message.get('runs'), message.get('left_ms')
            ran = f'{runs} endpoints may have run it' if runs else 'it did not run'
            status = message.get('status')
            return f'{status} {message.get("reason")}; {ran}; {left_ms} ms were left'
    return json.dumps(message, sort_keys=True)


def _format_placement(message: dict[str, Any]) -> str:
    prefill_engine = message.get('prefill') or message.get('decode')
    source = message.get('fetch_from')
    fetch_note = f', which fetches cached parts from {source}' if source else ''
    return (
        f'prefill on {prefill_engine}{fetch_note}; decode on {message.get("decode")}; '
        f'first token expected after {message.get("expected_ms")} ms, '
        f'of which {message.get("wait_ms")} ms waiting for other requests'
    )


def _format_resumed(message: dict[str, Any]) -> str:
    stream = f'stream that began as {message.get("resumes") or "an unnamed request"}'
    if message.get('refused'):
        return f'{stream} does not go on: {message.get("refused")}'
    return (
        f'{stream} goes on after event {message.get("after_event")} at version '
        f'{message.get("software")}, known from {message.get("known_from")}'
    )


def _format_attempt(message: dict[str, Any]) -> str:
    result = f'{message.get("endpoint")}: {message.get("outcome")} {message.get("status")}'
    reason = message.get('reason')
    notable = []
    if message.get('after_event'):
        notable.append(f'after event {message["after_event"]}')
    if message.get('software'):
        notable.append(f'version {message["software"]}')
    notable += [
        f'{label} {message[name]} ms'
        for name, label in (('first_ms', 'first part'), ('gap_ms', 'longest gap'))
        if message.get(name, 0) >= MIN_NOTABLE_DELAY_MS
    ]
    return ', '.join((f'{result} ({reason})' if reason else result, *notable))

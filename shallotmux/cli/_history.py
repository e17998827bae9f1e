"""Tell from log lines what happened to one request of the programs on a platform."""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

#: Start of the line of a log at which its JSON begins; collectors put times and names before it.
OBJECT_START = '{'

#: Prefix of the types of messages.
TYPE_PREFIX = 'shallotmux:'

#: Time after which a late start or a gap is pointed out, in ms.
NOTABLE_MS = 500


@dataclass(frozen=True, slots=True)
class Step:
    """One decision on a request.

    :param time_s: wall time of the line.
    """

    time_s: float
    kind: str
    text: str


def read_steps(lines: Iterable[str], request: str) -> list[Step]:
    """Return the steps of a request in their order; lines that are no messages are passed over.

    :param request: id of the request, as its caller sent it.
    """
    steps = [_describe(each) for each in map(_parse, lines) if each.get('request') == request]
    return sorted(steps, key=lambda step: step.time_s)


def conclude(steps: Iterable[Step]) -> str:
    """Return the end of a request in one sentence."""
    ends = [step for step in steps if step.kind in {'attempt', 'request-failed', 'request-refused'}]
    if not ends:
        return 'No line tells how it ended.'
    last = ends[-1]
    match last.kind:
        case 'request-refused':
            return f'Refused before anything was sent: {last.text}'
        case 'request-failed':
            return f'Ended without an answer of an endpoint: {last.text}'
    return f'Last attempt: {last.text}'


def _parse(line: str) -> dict[str, Any]:
    start = line.find(OBJECT_START)
    if start < 0:
        return {}
    try:
        message = json.loads(line[start:])
    except ValueError:
        return {}
    return message if isinstance(message, dict) else {}


def _describe(message: dict[str, Any]) -> Step:
    kind = str(message.get('message_type', '')).removeprefix(TYPE_PREFIX)
    return Step(float(message.get('timestamp', 0)), kind, _tell(kind, message))


def _tell(kind: str, message: dict[str, Any]) -> str:
    match kind:
        case 'placement':
            return _tell_placement(message)
        case 'attempt':
            return _tell_attempt(message)
        case 'prefill-refused':
            return f'{message.get("endpoint")} did not read the prompt: {message.get("status")}'
        case 'repeats-spent':
            return 'the prompt is not read apart, since no repeat is left for a refusal'
        case 'request-refused':
            status, version = message.get('status'), message.get('version')
            return f'{status} {message.get("reason")}; configuration {version}'
        case 'request-failed':
            runs, left_ms = message.get('runs'), message.get('left_ms')
            ran = f'{runs} endpoints may have run it' if runs else 'it did not run'
            status = message.get('status')
            return f'{status} {message.get("reason")}; {ran}; {left_ms} ms were left'
    return json.dumps(message, sort_keys=True)


def _tell_placement(message: dict[str, Any]) -> str:
    reader = message.get('prefill') or message.get('decode')
    source = message.get('fetch_from')
    fetched = f', which fetches what it lacks from {source}' if source else ''
    return (
        f'prompt to {reader}{fetched}; answer from {message.get("decode")}; expected after '
        f'{message.get("expected_ms")} ms, {message.get("wait_ms")} ms of them behind others'
    )


def _tell_attempt(message: dict[str, Any]) -> str:
    ending = f'{message.get("endpoint")}: {message.get("outcome")} {message.get("status")}'
    reason = message.get('reason')
    notable = [
        f'{label} {message[name]} ms'
        for name, label in (('first_ms', 'first part'), ('gap_ms', 'longest gap'))
        if message.get(name, 0) >= NOTABLE_MS
    ]
    return ', '.join((f'{ending} ({reason})' if reason else ending, *notable))

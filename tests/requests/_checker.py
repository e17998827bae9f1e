"""Checks of recorded histories against the invariants of the request path."""

from __future__ import annotations

from collections import Counter, defaultdict

import msgspec

from shallotmux.standins import prompt_key, token_text
from tests.requests._zone import Answer, Zone


def check_histories(zone: Zone) -> None:
    """Check the histories of callers and stand-ins against all invariants."""
    for answer in zone.answers:
        check_answer(answer)
    check_refusals(zone)
    check_jobs(zone)
    check_isolation(zone)
    check_keys(zone)


def expected_tokens(answer: Answer) -> list[str]:
    """Return the answer that an engine gives to a prompt."""
    key = prompt_key({'model': 'sorter', 'messages': answer.messages()})
    return [token_text(key, position) for position in range(answer.tokens)]


def check_answer(answer: Answer) -> None:
    """Check whole-answer: only own tokens, none lost or repeated, and an end of every request."""
    bodies = [msgspec.json.decode(event.partition(b'data: ')[2]) for event in answer.events]
    ids = [int(event.partition(b'\n')[0].removeprefix(b'id: ')) for event in answer.events]
    assert ids == list(range(1, len(ids) + 1)), f'event ids of {answer.prompt!r}: {ids}'
    texts = [body['choices'][0]['delta']['content'] for body in bodies]
    assert texts == expected_tokens(answer)[: len(texts)], f'tokens of {answer.prompt!r}'
    assert {body['id'] for body in bodies} <= {answer.response_id}
    if answer.done:
        assert len(texts) == answer.tokens, f'{answer.prompt!r} ended after {len(texts)}'
        assert not answer.code, f'{answer.prompt!r} is done and refused with {answer.code}'
    else:
        assert answer.code, f'{answer.prompt!r} has neither an answer nor a refusal'


def check_refusals(zone: Zone) -> None:
    """Check not-run-true: a request refused as not run was accepted by no engine.

    Reconnected callers are left out, because a refusal then applies only to the rest of the answer.
    """
    accepted = {
        run.payload['messages'][0]['content']
        for engine in zone.engines
        for run in engine.runs
        if not run.refused
    }
    sent = Counter(answer.prompt for answer in zone.answers)
    for answer in zone.answers:
        if answer.not_run and answer.connections == 1 and sent[answer.prompt] == 1:
            assert answer.prompt not in accepted, f'{answer.prompt!r} ran: {answer.code}'


def check_jobs(zone: Zone) -> None:
    """Check at-most-once, the same answer for all resends, and ``not_run`` of refused jobs."""
    answers = defaultdict(set)
    for call in zone.jobs:
        if call.status == 200:
            answers[call.job].add(call.body)
    for job, times in zone.executions.items():
        assert times <= 1, f'job {job!r} ran {times} times'
    for job, bodies in answers.items():
        assert len(bodies) == 1, f'job {job!r} has answers {bodies}'
        assert msgspec.json.decode(*bodies) == {'job': job, 'run': 1}
    last = {each.job: each for each in zone.jobs}
    for final in last.values():
        if final.not_run:
            assert not zone.executions[final.job], f'job {final.job!r} ran: {final.code}'


def check_isolation(zone: Zone) -> None:
    """Check customer-isolation: a response id is used by one customer and for one prompt."""
    prompts = defaultdict(set)
    for engine in zone.engines:
        for run in engine.runs:
            prompts[run.payload['response_id']].add(run.payload['messages'][-1]['content'])
    owners = defaultdict(set)
    for answer in zone.answers:
        assert prompts[answer.response_id] <= {answer.prompt}
        owners[answer.response_id].add(answer.customer)
    owners.pop('', None)
    assert all(len(customers) == 1 for customers in owners.values())


def check_keys(zone: Zone) -> None:
    """Check key-confined: no stand-in received a secret."""
    seen = [repr(each) for standin in (*zone.engines, *zone.services) for each in standin.history]
    for secret in zone.secrets.values():
        assert not any(secret in each for each in seen)

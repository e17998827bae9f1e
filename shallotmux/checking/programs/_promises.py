"""Check what callers and endpoints saw against the promises of the system."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import Counter, defaultdict
from collections.abc import Iterator

from shallotmux.checking.programs._configuration_promises import CONTACT_S, check_configuration
from shallotmux.checking.programs._records import (
    ROUTE_TIMEOUT_S,
    SAFE,
    STREAM,
    Arrival,
    Call,
    Records,
    Trouble,
    stream_body,
)
from shallotmux.forwarding import RetryBudgetLimits

#: Statuses that promise that a request has not run.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))

SUCCESS_STATUS = 200

#: Time in which a process may go on after it was killed.
KILL_S = 0.1


def find_violations(records: Records, budget: RetryBudgetLimits) -> list[str]:
    """Return a line for each promise that was broken."""
    arrivals: dict[str, list[Arrival]] = defaultdict(list)
    for arrival in records.arrivals:
        arrivals[arrival.request_id].append(arrival)
    violations = list(records.problems)
    for call in records.calls:
        violations.extend(_check_call(call, arrivals[call.request_id], records))
    violations.extend(_check_budget(records, budget))
    violations.extend(check_configuration(records))
    if records.read_back < records.acknowledged:
        violations.append(
            f'configuration {records.acknowledged} was acknowledged, {records.read_back} read back'
        )
    return violations


def _check_call(call: Call, arrivals: list[Arrival], records: Records) -> Iterator[str]:
    runs = sum(arrival.has_run for arrival in arrivals)
    about = f'{call.kind} request {call.request_id} at {call.entry}'
    if call.kind != SAFE and runs > 1:
        yield f'{about} ran {runs} times'
    if call.status in NOT_RUN_STATUSES and runs and call.kind != SAFE:
        yield f'{about} was answered {call.status} and has run'
    expected = call.request_id.encode()
    if call.kind == STREAM:
        expected = stream_body(call.request_id)
    if call.status == SUCCESS_STATUS and call.body != expected:
        yield f'{about} got the answer {call.body!r}'
    is_lost = call.status is None and call.sent_at < float('inf') and bool(arrivals)
    if call.kind == STREAM:
        # Neither an endpoint that breaks a stream off nor a timeout leaves another answer.
        is_lost = is_lost and all(arrival.is_sound for arrival in arrivals)
        is_lost = is_lost and call.ended_at - call.began_at < ROUTE_TIMEOUT_S
    if is_lost and not _is_excused(call, arrivals, records):
        yield (
            f'{about} was passed on and got no answer '
            f'(sent at {call.sent_at:.2f}, ended at {call.ended_at:.2f}; '
            f'{len(arrivals)} arrivals, kept {call.is_kept}, closed {call.is_closed}, '
            f'{records.describe_disruptions(call.entry, call.ended_at)})'
        )


def _is_excused(call: Call, arrivals: list[Arrival], records: Records) -> bool:
    """Return whether the instance was killed, or had just stood still, while it had the request.

    A connection that was closed on a request for a sound endpoint is not excused by standing still.
    """
    is_sound = all(arrival.is_sound for arrival in arrivals)
    for each in records.disruptions_of(call.entry, call.sent_at - KILL_S, call.ended_at):
        if each.trouble == Trouble.KILL:
            return True
        if each.trouble == Trouble.PAUSE and call.ended_at <= each.ended_at + CONTACT_S:
            if not (call.is_kept and call.is_closed and is_sound):
                return True
    return False


def _check_budget(records: Records, budget: RetryBudgetLimits) -> Iterator[str]:
    """Compare the arrivals beyond the first of each request with the budget, in every window."""
    seen: Counter[str] = Counter()
    repeats: list[float] = []
    for arrival in sorted(records.arrivals, key=lambda each: each.at):
        seen[arrival.request_id] += 1
        if seen[arrival.request_id] > 1:
            repeats.append(arrival.at)
    sent = sorted(each.sent_at for each in records.calls)
    for position, at in enumerate(repeats):
        since = at - budget.window_s
        count = position + 1 - bisect_left(repeats, since)
        allowed = budget.ratio * _busiest(sent, at, budget.window_s) + budget.slack
        if count > allowed:
            yield f'{count} repeats in the {budget.window_s:.0f} s until {at:.2f}, {allowed:.0f} allowed'
            return


def _busiest(sent: list[float], at: float, window_s: float) -> int:
    """Return the requests of the window, or of the one before it or half a window before it."""
    ends = (at, at - window_s / 2, at - window_s)
    return max(bisect_right(sent, end) - bisect_left(sent, end - window_s) for end in ends)

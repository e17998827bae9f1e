"""Check what callers and endpoints saw against the promises of the system."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import Counter, defaultdict
from collections.abc import Iterator

from shallotmux.checking.programs._records import UNSAFE, Arrival, Call, Records
from shallotmux.forwarding import RetryBudgetLimits

#: Statuses that promise that a request has not run.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))

SUCCESS_STATUS = 200


def find_violations(records: Records, budget: RetryBudgetLimits) -> list[str]:
    """Return a line for each promise that was broken."""
    arrivals: dict[str, list[Arrival]] = defaultdict(list)
    for arrival in records.arrivals:
        arrivals[arrival.request_id].append(arrival)
    violations = list(records.problems)
    for call in records.calls:
        violations.extend(_check_call(call, arrivals[call.request_id], records))
    violations.extend(_check_budget(records, budget))
    if records.read_back < records.acknowledged:
        violations.append(
            f'configuration {records.acknowledged} was acknowledged, {records.read_back} read back'
        )
    return violations


def _check_call(call: Call, arrivals: list[Arrival], records: Records) -> Iterator[str]:
    runs = sum(arrival.has_run for arrival in arrivals)
    about = f'{call.kind} request {call.request_id} at {call.entry}'
    if call.kind == UNSAFE and runs > 1:
        yield f'{about} ran {runs} times'
    if call.status in NOT_RUN_STATUSES and runs and call.kind == UNSAFE:
        yield f'{about} was answered {call.status} and has run'
    if call.status == SUCCESS_STATUS and call.body != call.request_id.encode():
        yield f'{about} got the answer {call.body!r}'
    is_lost = call.status is None and call.sent_at < float('inf') and bool(arrivals)
    if is_lost and not _is_excused(call, records):
        yield f'{about} was passed on and got no answer (sent at {call.sent_at:.2f})'


def _is_excused(call: Call, records: Records) -> bool:
    """Return whether the instance was killed or stood still while it had the request."""
    return any(
        each.instance == call.entry
        and each.began_at <= call.ended_at
        and each.ended_at >= call.sent_at
        for each in records.disruptions
    )


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

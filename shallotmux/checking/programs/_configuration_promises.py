"""Check the configuration that instances read back and obey against what was acknowledged."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from shallotmux.checking.programs._records import Call, Change, Reading, Records

#: Time from an acknowledgement within which a change is in force.
APPLY_S = 2.0

#: Time after a disruption in which time limits do not hold for the instance.
CONTACT_S = 3.0

#: Time that is added while control instances are disrupted and most of them run.
SKEW_S = 5.0

#: Time for an acknowledgement while the control group is stable, and what each route adds.
ACKNOWLEDGE_S = 4.0
ACKNOWLEDGE_ROUTE_S = 0.003

#: Time after which an instance that showed a version must not show an older one, and the factor for an
#: instance that was slowed down.
ROLLBACK_S = 0.25
SLOWED_FACTOR = 8

SUCCESS = 200
DENIED = frozenset((401, 403, 404))

#: Statuses that refuse a change for good.
REFUSED = frozenset((400, 401, 403, 404, 409, 412, 413, 422))


def check_configuration(records: Records) -> Iterator[str]:
    """Return a line for each promise on the configuration that was broken."""
    for change in records.changes:
        yield from _check_change(change, records)
    for reading in records.readings:
        yield from _check_reading(reading, records)
    shown: dict[tuple[str, int], list[tuple[float, int]]] = {}
    for call in sorted(records.calls, key=lambda each: each.sent_at):
        if call.item:
            yield from _check_probe(call, records, shown.setdefault((call.entry, call.run), []))
        elif call.status in DENIED:
            yield f'{call.kind} request {call.request_id} at {call.entry} was answered {call.status}'


def count_judged_probes(records: Records) -> int:
    """Return the probes to which a time limit applied."""
    return sum(bool(_bound(each, records)) for each in records.calls if each.item)


def _check_change(change: Change, records: Records) -> Iterator[str]:
    about = f'configuration {change.version} (sent at {change.sent_at:.2f})'
    if not change.is_valid:
        if SUCCESS in change.statuses:
            yield f'{about} is invalid and was acknowledged'
        return
    refused = REFUSED.intersection(change.statuses)
    if refused:
        yield f'{about} is valid and was refused with {refused}'
    if not change.is_conflicting and _is_acknowledged_late(change, records):
        yield f'{about} was not acknowledged in time: {change.acknowledged_at - change.sent_at:.2f} s'


def _is_acknowledged_late(change: Change, records: Records) -> bool:
    """Return whether a change waited too long in a time in which the control group was stable."""
    limit = ACKNOWLEDGE_S + ACKNOWLEDGE_ROUTE_S * change.routes
    until = min(change.acknowledged_at, records.ended_at)
    disruptions = [each for each in records.disruptions if each.instance in records.controls]
    starts = (change.sent_at, *(each.ended_at + CONTACT_S for each in disruptions))
    for start in starts:
        ends = (each.began_at for each in disruptions if each.ended_at + CONTACT_S > start)
        if start >= change.sent_at and min((until, *ends)) - start > limit:
            return True
    return False


def _check_reading(reading: Reading, records: Records) -> Iterator[str]:
    about = f'{reading.instance} read {reading.version} at {reading.sent_at:.2f}'
    sent = [each for each in records.changes if each.version == reading.version]
    if not any(each.is_valid and each.items == reading.items for each in _first(sent)):
        yield f'{about}, which is not what was sent under that number'
    newest = _newest(records.changes, reading.sent_at - APPLY_S)
    if reading.version < newest:
        yield f'{about}, though {newest} had been acknowledged'


def _first(sent: Iterable[Change]) -> list[Change]:
    return [each for each in sent if not each.is_conflicting]


def _newest(changes: Iterable[Change], acknowledged_until: float) -> int:
    """Return the highest version that was acknowledged until a time."""
    return max(
        (
            each.version
            for each in changes
            if each.is_valid
            and not each.is_conflicting
            and each.acknowledged_at <= acknowledged_until
        ),
        default=0,
    )


def _check_probe(call: Call, records: Records, shown: list[tuple[float, int]]) -> Iterator[str]:
    """Compare the answer to a probe with the versions that may be in force.

    :param shown: versions of which this start of the instance showed the effect, and when.
    """
    if call.status != SUCCESS and call.status not in DENIED:
        return
    allowed = _allowed_changes(call, records, _oldest_allowed(call, records, shown))
    about = f'{call.item} at {call.entry} (sent at {call.sent_at:.2f}) was answered {call.status}'
    is_held = [call.item in each.items for each in allowed]
    versions = [each.version for each in allowed]
    if call.status == SUCCESS and not any(is_held):
        yield f'{about}, but none of {versions} holds it'
    if call.status in DENIED and is_held and all(is_held):
        yield f'{about}, but all of {versions} hold it'
    if call.status == SUCCESS and any(is_held):
        first = min(each.version for each in records.changes if call.item in each.items)
        shown.append((call.ended_at, first))


def _oldest_allowed(call: Call, records: Records, shown: list[tuple[float, int]]) -> int:
    """Return the lowest version that the instance may obey."""
    slowed = records.disruptions_of(call.entry, call.sent_at - CONTACT_S, call.ended_at)
    slack = ROLLBACK_S * (SLOWED_FACTOR if slowed else 1)
    seen = [version for at, version in shown if at <= call.sent_at - slack]
    bound = _bound(call, records)
    newest = _newest(records.changes, call.sent_at - bound) if bound else 0
    return max((newest, *seen))


def _allowed_changes(call: Call, records: Records, oldest: int) -> list[Change]:
    return [
        each
        for each in records.changes
        if each.is_valid
        and not each.is_conflicting
        and each.version >= oldest
        and each.sent_at <= call.ended_at
    ]


def _bound(call: Call, records: Records) -> float:
    """Return the time within which a change is in force at the instance; 0 if there is no limit.

    It is longer while the control group is disrupted, as long as most of it runs.
    """
    if records.disruptions_of(call.entry, call.sent_at - CONTACT_S, call.ended_at):
        return 0
    if not _disrupted_controls(records, call.sent_at - APPLY_S - CONTACT_S, call.ended_at):
        return APPLY_S
    since = call.sent_at - APPLY_S - SKEW_S - CONTACT_S
    disrupted = _disrupted_controls(records, since, call.ended_at)
    return APPLY_S + SKEW_S if 2 * disrupted < len(records.controls) else 0


def _disrupted_controls(records: Records, since: float, until: float) -> int:
    return sum(bool(records.disruptions_of(name, since, until)) for name in records.controls)

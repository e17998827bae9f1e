"""Choose the engine that changes its role next."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence, Set
from dataclasses import dataclass

import msgspec

from shallotmux.control._sizing import MIN_DECODE_ENGINES, count_decode_engines
from shallotmux.fleet import EngineRole, ListedEndpoint

#: Decode engines that may be missing before a prefill engine is changed. A role change takes an
#: engine out of service for seconds, so roles do not follow each endpoint that comes or goes.
DECODE_ENGINE_SLACK = 1

NONE_PASSED_OVER: Set[str] = frozenset()


@dataclass(frozen=True, slots=True)
class RoleChange:
    """An engine and its new role.

    :param why: figures that the change follows from.
    :param is_urgent: whether so few engines can answer that waiting costs more than refusals of the
        engine that changes.
    """

    endpoint: ListedEndpoint
    role: EngineRole
    why: str = ''
    is_urgent: bool = False


def plan_role_change(
    engines: Sequence[ListedEndpoint], passed_over: Set[str] = NONE_PASSED_OVER
) -> RoleChange | None:
    """Return the next role change, or None if the roles fit or no engine is left to change.

    Cheap engines are preferred for prefill, since a lost prefill is easily repeated, and regular
    ones for decode. Decode engines are spread over the zones, since a whole zone may be lost at
    once.

    :param passed_over: identities of engines that count with their roles but get no order.
    """
    prefill_engines = [each for each in engines if each.role is EngineRole.PREFILL]
    decode_engines = [each for each in engines if each.role is EngineRole.DECODE]
    target = count_decode_engines(len(prefill_engines) + len(decode_engines))
    why = f'{len(decode_engines)} decode engines, {target} wanted'
    if len(decode_engines) > target:
        engine = _pick_from_most_crowded_zone(decode_engines, passed_over)
        return RoleChange(engine, EngineRole.PREFILL, why) if engine else None
    min_decode_engines = max(min(target, MIN_DECODE_ENGINES), target - DECODE_ENGINE_SLACK)
    if len(decode_engines) < min_decode_engines and len(prefill_engines) > 1:
        engine = _pick_from_least_crowded_zone(prefill_engines, decode_engines, passed_over)
        is_urgent = len(decode_engines) < MIN_DECODE_ENGINES
        return RoleChange(engine, EngineRole.DECODE, why, is_urgent) if engine else None
    return None


def _pick_from_most_crowded_zone(
    decode_engines: Sequence[ListedEndpoint], passed_over: Set[str]
) -> ListedEndpoint | None:
    zone_counts = Counter(each.zone for each in decode_engines)
    # The newest has the fewest streams and the least in its cache.
    return max(
        (each for each in decode_engines if each.identity not in passed_over),
        key=lambda each: (zone_counts[each.zone], each.is_cheap, each.started_ms),
        default=None,
    )


def _pick_from_least_crowded_zone(
    prefill_engines: Sequence[ListedEndpoint],
    decode_engines: Sequence[ListedEndpoint],
    passed_over: Set[str],
) -> ListedEndpoint | None:
    zone_counts = Counter(each.zone for each in decode_engines)
    return min(
        (each for each in prefill_engines if each.identity not in passed_over),
        key=lambda each: (zone_counts[each.zone], each.is_cheap, each.identity),
        default=None,
    )


def count_wanted_changes(
    engines: Sequence[ListedEndpoint], passed_over: Set[str], limit: int
) -> Counter[EngineRole]:
    """Return how many of the next changes lead to each role.

    :param limit: number of changes that are looked at.
    """
    wanted: Counter[EngineRole] = Counter()
    remaining = list(engines)
    for _ in range(limit):
        change = plan_role_change(remaining, passed_over)
        if change is None:
            break
        wanted[change.role] += 1
        remaining.remove(change.endpoint)
        remaining.append(msgspec.structs.replace(change.endpoint, role=change.role))
    return wanted

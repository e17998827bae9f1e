"""Choose the engine that changes its role next."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

from shallotmux.control._sizing import MIN_DECODE_ENGINES, count_decode_engines
from shallotmux.fleet import EngineRole, ListedEndpoint

#: Decode engines that may be missing before a prefill engine is changed. A role change takes an
#: engine out of service for seconds, so roles do not follow each endpoint that comes or goes.
DECODE_ENGINE_SLACK = 1


@dataclass(frozen=True, slots=True)
class RoleChange:
    """An engine and its new role."""

    endpoint: ListedEndpoint
    role: EngineRole


def plan_role_change(engines: Sequence[ListedEndpoint]) -> RoleChange | None:
    """Return the next role change, or None if the roles fit.

    Cheap engines are preferred for prefill, since a lost prefill is easily repeated, and regular
    ones for decode. Decode engines are spread over the zones, since a whole zone may be lost at
    once.
    """
    prefill_engines = [each for each in engines if each.role is EngineRole.PREFILL]
    decode_engines = [each for each in engines if each.role is EngineRole.DECODE]
    target = count_decode_engines(len(prefill_engines) + len(decode_engines))
    if len(decode_engines) > target:
        return RoleChange(_pick_from_most_crowded_zone(decode_engines), EngineRole.PREFILL)
    min_decode_engines = max(min(target, MIN_DECODE_ENGINES), target - DECODE_ENGINE_SLACK)
    if len(decode_engines) < min_decode_engines and len(prefill_engines) > 1:
        return RoleChange(
            _pick_from_least_crowded_zone(prefill_engines, decode_engines), EngineRole.DECODE
        )
    return None


def _pick_from_most_crowded_zone(decode_engines: Sequence[ListedEndpoint]) -> ListedEndpoint:
    zone_counts = Counter(each.zone for each in decode_engines)
    # The newest has the fewest streams and the least in its cache.
    return max(
        decode_engines, key=lambda each: (zone_counts[each.zone], each.is_cheap, each.started_ms)
    )


def _pick_from_least_crowded_zone(
    prefill_engines: Sequence[ListedEndpoint], decode_engines: Sequence[ListedEndpoint]
) -> ListedEndpoint:
    zone_counts = Counter(each.zone for each in decode_engines)
    return min(
        prefill_engines, key=lambda each: (zone_counts[each.zone], each.is_cheap, each.identity)
    )

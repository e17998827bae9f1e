"""Which engine changes its role next."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

from shallotmux.control._sizing import LEAST_GENERATORS, count_generators
from shallotmux.fleet import EngineRole, ListedEndpoint

#: Generating engines that may be missing while others are left. A change takes an engine out for
#: seconds, so the roles do not follow each endpoint that comes or goes.
MISSING_GENERATORS = 1


@dataclass(frozen=True, slots=True)
class RoleChange:
    """An engine and the role that it should take."""

    endpoint: ListedEndpoint
    role: EngineRole


def plan_role_change(engines: Sequence[ListedEndpoint]) -> RoleChange | None:
    """Return the next single change, or None if the roles fit.

    Cheap engines read prompts, since a prompt is read again easily; regular ones generate. The
    engines that generate are spread over the zones, as one zone may be lost at once.
    """
    reading = [each for each in engines if each.role is EngineRole.PREFILL]
    generating = [each for each in engines if each.role is EngineRole.DECODE]
    wanted = count_generators(len(reading) + len(generating))
    if len(generating) > wanted:
        return RoleChange(_most_crowded(generating), EngineRole.PREFILL)
    fewest = max(min(wanted, LEAST_GENERATORS), wanted - MISSING_GENERATORS)
    if len(generating) < fewest and len(reading) > 1:
        return RoleChange(_least_crowded(reading, generating), EngineRole.DECODE)
    return None


def _most_crowded(generating: Sequence[ListedEndpoint]) -> ListedEndpoint:
    in_zone = Counter(each.zone for each in generating)
    return max(generating, key=lambda each: (in_zone[each.zone], each.is_cheap, each.identity))


def _least_crowded(
    reading: Sequence[ListedEndpoint], generating: Sequence[ListedEndpoint]
) -> ListedEndpoint:
    in_zone = Counter(each.zone for each in generating)
    return min(reading, key=lambda each: (in_zone[each.zone], each.is_cheap, each.identity))

"""Attribute crashes of endpoints to the requests and prompt parts that ran on them."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass
from hashlib import blake2b

#: Endpoints that must have crashed under a subject before it is quarantined. Fewer may have ended for
#: another reason.
CRASH_LIMIT = 3

#: Quarantine after the crash that reaches the limit. Each further crash doubles it, up to the maximum.
QUARANTINE_S = 60.0
MAX_QUARANTINE_S = 600.0

#: After a quarantine, the instances that may run one trial request double after each of these times.
TRIAL_SLOT_S = 5.0

#: Doublings that are counted, of a quarantine and of the instances that may run a trial. They suffice
#: for the longest quarantine and the largest fleet.
MAX_DOUBLINGS = 16

#: Part of a slot in which a trial may start. The rest lets its result reach the owners of the next.
TRIAL_START_S = 4.0


@dataclass(frozen=True, slots=True)
class Crash:
    """Crash of an endpoint, and what may have caused it.

    :param endpoint: identifies one start of the endpoint.
    :param at: time of the crash.
    :param subjects: identifies the requests that ran there and the parts of their prompts, without
        those of which a request has been served since.
    """

    endpoint: int
    at: float
    subjects: frozenset[int]


@dataclass(frozen=True, slots=True)
class Culprit:
    """Cause of several crashes.

    :param subjects: requests that contain all of them are not run. There are several if the crashes
        do not tell them apart.
    :param endpoints: endpoints that crashed.
    :param latest_at: time of the latest crash.
    """

    subjects: frozenset[int]
    endpoints: frozenset[int]
    latest_at: float

    @property
    def ends_at(self) -> float:
        """Return the time at which the quarantine ends and a trial may run."""
        doublings = min(len(self.endpoints) - CRASH_LIMIT, MAX_DOUBLINGS)
        return self.latest_at + min(QUARANTINE_S * 2**doublings, MAX_QUARANTINE_S)


def find_culprits(crashes: Collection[Crash]) -> tuple[Culprit, ...]:
    """Return what explains the crashes, the cause of the most crashes first.

    Whatever ran on the same endpoints as a culprit is not blamed for those crashes again. Subjects
    that ran on exactly the same endpoints are blamed together: a request that contains one of them
    alone may run, and shows which one it is.
    """
    times = {crash.endpoint: crash.at for crash in crashes}
    unexplained = _frequent(_endpoints_by_subject(crashes))
    culprits: list[Culprit] = []
    while unexplained:
        endpoints = _largest(unexplained.values(), times)
        subjects = frozenset(name for name, each in unexplained.items() if each == endpoints)
        culprits.append(Culprit(subjects, endpoints, _latest(endpoints, times)))
        unexplained = _frequent({name: each - endpoints for name, each in unexplained.items()})
    return tuple(culprits)


def find_culprits_naively(crashes: Collection[Crash]) -> tuple[Culprit, ...]:
    """Return all subjects that ran on enough crashed endpoints, each as a culprit of its own.

    This is the version that :func:`find_culprits` is measured against.
    """
    times = {crash.endpoint: crash.at for crash in crashes}
    frequent = _frequent(_endpoints_by_subject(crashes))
    return tuple(
        Culprit(frozenset((subject,)), endpoints, _latest(endpoints, times))
        for subject, endpoints in frequent.items()
    )


def may_run_trial(
    culprit: Culprit, instance: str, instances: Collection[str], now: float
) -> int | None:
    """Return the number of the slot in which an instance may run one trial now, or None.

    Few instances may at first, so that few requests reach endpoints if the suspicion is right. More
    may later, so that a wrong suspicion ends although each instance sees few of the requests.
    """
    elapsed_s = now - culprit.ends_at
    slot, since_start_s = divmod(elapsed_s, TRIAL_SLOT_S)
    if elapsed_s < 0 or since_start_s > TRIAL_START_S:
        return None
    own_rank = _rank(culprit, slot, instance)
    ahead = sum(_rank(culprit, slot, each) < own_rank for each in instances if each != instance)
    owners = 2 ** min(slot, MAX_DOUBLINGS)
    return int(slot) if ahead < owners else None


def _endpoints_by_subject(crashes: Iterable[Crash]) -> Mapping[int, frozenset[int]]:
    endpoints: defaultdict[int, set[int]] = defaultdict(set)
    for crash in crashes:
        for subject in crash.subjects:
            endpoints[subject].add(crash.endpoint)
    return {name: frozenset(each) for name, each in endpoints.items()}


def _frequent(endpoints: Mapping[int, frozenset[int]]) -> dict[int, frozenset[int]]:
    """Return the subjects with enough crashes for a quarantine."""
    return {name: each for name, each in endpoints.items() if len(each) >= CRASH_LIMIT}


def _largest(groups: Iterable[frozenset[int]], times: Mapping[int, float]) -> frozenset[int]:
    """Return the largest group of endpoints, among equal ones that with the latest crash."""
    return max(groups, key=lambda each: (len(each), _latest(each, times)))


def _latest(endpoints: frozenset[int], times: Mapping[int, float]) -> float:
    return max(times[each] for each in endpoints)


def _rank(culprit: Culprit, slot: float, instance: str) -> bytes:
    text = f'{min(culprit.subjects)} {slot} {instance}'
    return blake2b(text.encode(), digest_size=8).digest()

"""Attribute crashes of endpoints to the requests and prompt parts that ran on them."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass
from hashlib import blake2b

#: Crashes that must have happened under a subject before it is quarantined. Fewer endpoints may have
#: ended for another reason.
CRASH_LIMIT = 3

#: Endpoints that crash within this time count as one crash, unless the request was sent after the one
#: before: a shared cause, such as a failed rack, is likelier than several requests.
SAME_CAUSE_S = 0.5

#: Endpoints whose crashes suffice if they happened at two times at least. Requests that arrive in
#: bursts crash several endpoints at once.
MANY_ENDPOINTS = 5

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
    :param repeated: subjects of which the request was sent after an earlier crash under the same one.
        That crash had no cause in common with this one but the subject.
    """

    endpoint: int
    at: float
    subjects: frozenset[int]
    repeated: frozenset[int] = frozenset()


@dataclass(frozen=True, slots=True)
class Culprit:
    """Cause of several crashes.

    :param subjects: requests that contain all of them are not run. There are several if the crashes
        do not tell them apart.
    :param endpoints: endpoints that crashed.
    :param latest_at: time of the latest crash.
    :param crashes: number of crashes; those at one time count once.
    """

    subjects: frozenset[int]
    endpoints: frozenset[int]
    latest_at: float
    crashes: int

    @property
    def ends_at(self) -> float:
        """Return the time at which the quarantine ends and a trial may run."""
        doublings = min(max(0, self.crashes - CRASH_LIMIT), MAX_DOUBLINGS)
        return self.latest_at + min(QUARANTINE_S * 2**doublings, MAX_QUARANTINE_S)


def find_culprits(crashes: Collection[Crash]) -> tuple[Culprit, ...]:
    """Return what explains the crashes, the cause of the most crashes first.

    Whatever ran on the same endpoints as a culprit is not blamed for those crashes again. Subjects
    that ran on exactly the same endpoints are blamed together: a request that contains one of them
    alone may run, and shows which one it is.
    """
    log = _CrashLog(crashes)
    unexplained = log.frequent(_endpoints_by_subject(crashes))
    culprits: list[Culprit] = []
    while unexplained:
        most = log.heaviest(unexplained)
        endpoints = unexplained[most]
        subjects = frozenset(name for name, each in unexplained.items() if each == endpoints)
        culprits.append(log.culprit(most, subjects, endpoints))
        unexplained = log.frequent({name: each - endpoints for name, each in unexplained.items()})
    return tuple(culprits)


def find_culprits_naively(crashes: Collection[Crash]) -> tuple[Culprit, ...]:
    """Return all subjects that ran on enough crashed endpoints, each as a culprit of its own.

    This is the version that :func:`find_culprits` is measured against.
    """
    log = _CrashLog(crashes)
    return tuple(
        log.culprit(subject, frozenset((subject,)), endpoints)
        for subject, endpoints in _endpoints_by_subject(crashes).items()
        if len(endpoints) >= CRASH_LIMIT
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


class _CrashLog:
    """Times of crashes by endpoint, and how many they count as."""

    def __init__(self, crashes: Iterable[Crash]) -> None:
        self._crashes = {crash.endpoint: crash for crash in crashes}

    def frequent(self, endpoints: Mapping[int, frozenset[int]]) -> dict[int, frozenset[int]]:
        """Return the subjects with enough crashes for a quarantine."""
        return {name: each for name, each in endpoints.items() if self._are_enough(name, each)}

    def heaviest(self, endpoints: Mapping[int, frozenset[int]]) -> int:
        """Return the subject against which most speaks; of equal ones that of the latest crash."""
        return max(
            endpoints,
            key=lambda name: (
                self._count(name, endpoints[name]),
                len(endpoints[name]),
                self._latest(endpoints[name]),
            ),
        )

    def culprit(self, subject: int, subjects: frozenset[int], endpoints: frozenset[int]) -> Culprit:
        """Return the culprit of the crashes of endpoints.

        :param subject: one of the subjects, whose crashes are counted.
        """
        return Culprit(
            subjects, endpoints, self._latest(endpoints), self._count(subject, endpoints)
        )

    def _are_enough(self, subject: int, endpoints: frozenset[int]) -> bool:
        if len(endpoints) < CRASH_LIMIT:
            return False
        count = self._count(subject, endpoints)
        return count >= CRASH_LIMIT or (count > 1 and len(endpoints) >= MANY_ENDPOINTS)

    def _count(self, subject: int, endpoints: frozenset[int]) -> int:
        """Return the number of crashes under a subject; those with a shared cause count once."""
        count = 0
        since = float('-inf')
        for crash in sorted((self._crashes[each] for each in endpoints), key=lambda each: each.at):
            if crash.at - since > SAME_CAUSE_S or subject in crash.repeated:
                count += 1
                since = crash.at
        return count

    def _latest(self, endpoints: frozenset[int]) -> float:
        return max((self._crashes[each].at for each in endpoints), default=float('-inf'))


def _rank(culprit: Culprit, slot: float, instance: str) -> bytes:
    text = f'{min(culprit.subjects)} {slot} {instance}'
    return blake2b(text.encode(), digest_size=8).digest()

"""Evidence of one instance on which endpoints crashed under which requests and prompt parts."""

from __future__ import annotations

import enum
from collections import OrderedDict, defaultdict, deque

from shallotmux.crashes._culprits import Crash

#: Time for which a crash is remembered. It exceeds the longest quarantine, so that one more crash
#: after it starts the next one.
EVIDENCE_TTL_S = 900.0

#: Maximum number of subjects with crashes that are remembered. Beyond it, those with the fewest
#: crashes are forgotten first, so that requests with many new parts do not displace a culprit.
MAX_SUBJECTS = 4096

#: Maximum number of subjects for which the last time of service is remembered.
MAX_SERVED = 4096

#: Maximum number of endpoints for which the times of answers are remembered, and times of each.
MAX_ANSWERED = 4096
MAX_ANSWER_TIMES = 16

#: Minimum time between two remembered answers of an endpoint.
ANSWER_INTERVAL_S = 0.2

#: An endpoint has not crashed if it answers a request that was sent within this time after the
#: supposed crash. A crashed endpoint takes longer to be back, perhaps under its old identity.
ALIVE_AFTER_S = 0.05
ALIVE_WITHIN_S = 1.0


#: Time after a crash from which another one can have a cause of its own. Endpoints that fail together
#: do not end at exactly the same moment, and a request may be retried in between.
REPEATED_AFTER_S = 0.1

#: Time between the uncertain end of a stream and the crash of its endpoint within which the stream is
#: taken to have broken in the crash.
UNCERTAIN_END_S = 1.0

#: Maximum number of endpoints with uncertain ends that are remembered.
MAX_UNCERTAIN = 256


class Addition(enum.Enum):
    """What became of a crash that was to be added."""

    ADDED = 'added'
    KNOWN = 'known'
    SERVED_SINCE = 'served since'
    ALIVE_SINCE = 'alive since'


class Evidence:
    """Crashes by subject and endpoint, without those that were refuted.

    A crash does not count against a subject of which a request was served after it, and not at all if
    the endpoint answered right after it.
    """

    def __init__(self) -> None:
        #: Time of each crash, by subject and endpoint.
        self.crashes: dict[int, dict[int, float]] = {}
        #: Subjects and endpoints of crashes whose request was sent after an earlier crash.
        self.repeated: set[tuple[int, int]] = set()
        #: Time at which a request of each subject was last served, the latest last.
        self.served: OrderedDict[int, float] = OrderedDict()
        #: Time of the supposed crash of endpoints that were alive after it, the latest last.
        self.alive: OrderedDict[int, float] = OrderedDict()
        #: Time of the latest crash of each endpoint.
        self._crashed_at: dict[int, float] = {}
        self._answers: OrderedDict[int, deque[float]] = OrderedDict()
        #: Time and subjects of the latest uncertain ends of streams, by endpoint.
        self._uncertain: OrderedDict[int, deque[tuple[float, frozenset[int]]]] = OrderedDict()

    def add_crash(
        self, subject: int, endpoint: int, at: float, *, is_repeated: bool = False
    ) -> Addition:
        """Add a crash, unless it is known or refuted."""
        if endpoint in self.crashes.get(subject, ()):
            if not is_repeated or (subject, endpoint) in self.repeated:
                return Addition.KNOWN
            self.repeated.add((subject, endpoint))
            return Addition.ADDED
        if at <= self.served.get(subject, float('-inf')):
            return Addition.SERVED_SINCE
        if self._was_alive_after(endpoint, at):
            return Addition.ALIVE_SINCE
        self.crashes.setdefault(subject, {})[endpoint] = at
        self._crashed_at[endpoint] = max(at, self._crashed_at.get(endpoint, at))
        if is_repeated:
            self.repeated.add((subject, endpoint))
        if len(self.crashes) > MAX_SUBJECTS:
            self._forget_rarest()
        return Addition.ADDED

    def is_repeated(self, subject: int, sent_at: float, at: float) -> bool:
        """Return whether a request was sent after a crash under a subject, and crashed later."""
        latest = min(sent_at, at - REPEATED_AFTER_S)
        return any(each <= latest for each in self.crashes.get(subject, {}).values())

    def add_uncertain_end(self, subjects: frozenset[int], endpoint: int, at: float) -> None:
        """Add a stream whose end may be a crash of its endpoint."""
        self._uncertain.setdefault(endpoint, deque(maxlen=MAX_ANSWER_TIMES)).append((at, subjects))
        self._uncertain.move_to_end(endpoint)
        if len(self._uncertain) > MAX_UNCERTAIN:
            self._uncertain.popitem(last=False)

    def find_uncertain(self, endpoint: int, at: float) -> frozenset[int]:
        """Return the subjects of streams that ended when an endpoint crashed."""
        return frozenset().union(
            *(
                subjects
                for ended_at, subjects in self._uncertain.get(endpoint, ())
                if abs(at - ended_at) <= UNCERTAIN_END_S
            )
        )

    def crashed_at(self, endpoint: int) -> float:
        """Return the time of the latest crash of an endpoint; minus infinity without one."""
        return self._crashed_at.get(endpoint, float('-inf'))

    def add_served(self, subject: int, at: float) -> bool:
        """Add a served request; returns whether it refutes a crash."""
        if at <= self.served.get(subject, float('-inf')):
            return False
        self.served[subject] = at
        self.served.move_to_end(subject)
        if len(self.served) > MAX_SERVED:
            self.served.popitem(last=False)
        return self._remove_crashes(subject, at)

    def add_answer(self, endpoint: int, sent_at: float) -> bool:
        """Add an answer to a request sent at a time; returns whether it refutes a crash."""
        times = self._answers.setdefault(endpoint, deque(maxlen=MAX_ANSWER_TIMES))
        if len(self._answers) > MAX_ANSWERED:
            self._answers.popitem(last=False)
        if times and sent_at < times[-1] + ANSWER_INTERVAL_S:
            return False
        times.append(sent_at)
        self._answers.move_to_end(endpoint)
        is_alive = _is_alive(self.crashed_at(endpoint), sent_at)
        return is_alive and self.add_alive(endpoint, sent_at)

    def add_alive(self, endpoint: int, at: float) -> bool:
        """Add that an endpoint was alive at a time; returns whether it refutes a crash."""
        if at <= self.alive.get(endpoint, float('-inf')):
            return False
        self.alive[endpoint] = at
        self.alive.move_to_end(endpoint)
        if len(self.alive) > MAX_ANSWERED:
            self.alive.popitem(last=False)
        is_refuting = False
        for subject in tuple(self.crashes):
            if self.crashes[subject].get(endpoint, at) < at:
                self._remove_crash(subject, endpoint)
                is_refuting = True
        return is_refuting

    def expire(self, now: float) -> bool:
        """Forget what is too old; returns whether a crash was forgotten."""
        oldest = now - EVIDENCE_TTL_S
        is_changed = False
        for subject in tuple(self.crashes):
            is_changed |= self._remove_crashes(subject, oldest)
        self._crashed_at = {name: at for name, at in self._crashed_at.items() if at > oldest}
        for times in (self.served, self.alive):
            while times and next(iter(times.values())) < oldest:
                times.popitem(last=False)
        return is_changed

    def list_crashes(self) -> tuple[Crash, ...]:
        """Return the crashes, each with all subjects that it counts against."""
        subjects: defaultdict[int, set[int]] = defaultdict(set)
        for subject, endpoints in self.crashes.items():
            for endpoint in endpoints:
                subjects[endpoint].add(subject)
        return tuple(
            Crash(
                name,
                self._crashed_at[name],
                frozenset(each),
                frozenset(own for own in each if (own, name) in self.repeated),
            )
            for name, each in subjects.items()
        )

    def _was_alive_after(self, endpoint: int, at: float) -> bool:
        answered_at = (each for each in self._answers.get(endpoint, ()) if _is_alive(at, each))
        alive_at = max(answered_at, default=float('-inf'))
        if alive_at > self.alive.get(endpoint, float('-inf')):
            self.add_alive(endpoint, alive_at)
        return at < self.alive.get(endpoint, float('-inf'))

    def _remove_crashes(self, subject: int, until: float) -> bool:
        """Remove the crashes of a subject up to a time; returns whether there were any."""
        old = [name for name, at in self.crashes.get(subject, {}).items() if at <= until]
        for endpoint in old:
            self._remove_crash(subject, endpoint)
        return bool(old)

    def _remove_crash(self, subject: int, endpoint: int) -> None:
        endpoints = self.crashes[subject]
        endpoints.pop(endpoint)
        self.repeated.discard((subject, endpoint))
        if not endpoints:
            self.crashes.pop(subject)

    def _forget_rarest(self) -> None:
        """Forget a quarter of the subjects, those with the fewest and oldest crashes first."""
        ranked = sorted(
            self.crashes,
            key=lambda each: (len(self.crashes[each]), max(self.crashes[each].values())),
        )
        for subject in ranked[: MAX_SUBJECTS // 4]:
            for endpoint in tuple(self.crashes[subject]):
                self._remove_crash(subject, endpoint)


def _is_alive(crashed_at: float, sent_at: float) -> bool:
    return ALIVE_AFTER_S <= sent_at - crashed_at <= ALIVE_WITHIN_S

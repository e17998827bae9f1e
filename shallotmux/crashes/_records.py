"""Requests and prompt parts during which endpoints crashed, as reported by all instances."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

import trio
from eliot import log_message

from shallotmux.crashes._culprits import (
    TRIAL_SLOT_S,
    Culprit,
    find_culprits,
    may_run_trial,
)
from shallotmux.crashes._evidence import EVIDENCE_TTL_S, UNCERTAIN_END_S, Addition, Evidence
from shallotmux.crashes._history import Change, ChangeKind, History
from shallotmux.crashes._messages import CrashNews, Position

#: Times after and before all others.
ALWAYS = float('inf')
NEVER = float('-inf')

#: Interval at which old evidence is forgotten.
EXPIRY_INTERVAL_S = 1.0

#: Maximum number of subjects whose last announcement is remembered.
MAX_ANNOUNCED = 4096

#: Subjects and endpoints of a quarantine that a log line names.
MAX_LOGGED = 8


@dataclass(frozen=True, slots=True)
class _Trial:
    """A request that runs although it contains a culprit.

    :param crashes: number of crashes known when it started; one more ends it.
    """

    holder: object
    slot: int
    crashes: int


class CrashRecords:
    """Records which endpoints crashed under which requests and prompt parts, and quarantines those.

    An endpoint counts as crashed if it broke the connection while it may have run the request. All
    subjects of the request are recorded: a hash of the whole request, which is equal when its caller
    sends it again under another id, and one of each prompt part that other requests may share.

    :param instance: name of this instance among the entry instances.
    :param instances: returns the names of the live entry instances.
    """

    def __init__(
        self, instance: str = '', instances: Callable[[], tuple[str, ...]] = tuple
    ) -> None:
        self._instance = instance
        self._instances = instances
        self._evidence = Evidence()
        self._history = History()
        self._culprits: tuple[Culprit, ...] = ()
        self._is_changed = False
        self._expired_at = float('-inf')
        self._trials: dict[frozenset[int], _Trial] = {}
        #: Time of service that other instances were last told of, by subject.
        self._announced: dict[int, float] = {}

    @property
    def has_crashes(self) -> bool:
        """Return whether any crash is recorded; otherwise no subject is quarantined."""
        return bool(self._evidence.crashes)

    @property
    def source(self) -> int:
        """Return the number that identifies this start of the instance in its news."""
        return self._history.source

    def count(self, subject: int) -> int:
        """Return the number of endpoints known to have crashed under a subject."""
        return len(self._evidence.crashes.get(subject, ()))

    def quarantines(self) -> tuple[Culprit, ...]:
        """Return the present quarantines."""
        self._expire()
        if self._is_changed:
            self._is_changed = False
            self._replace_culprits(find_culprits(self._evidence.list_crashes()))
        return self._culprits

    def quarantine_ends_in(self, subjects: frozenset[int], holder: object) -> float:
        """Return for how long a request must not run; 0 if it may.

        :param subjects: the hash of the request and those of its prompt parts.
        :param holder: identifies the request; it may run a trial after the end of a quarantine.
        """
        now = trio.current_time()
        waits = (
            max(TRIAL_SLOT_S, culprit.ends_at - now)
            for culprit in self.quarantines()
            if culprit.subjects <= subjects and not self._may_try(culprit, holder, now)
        )
        return max(waits, default=0.0)

    def record_crash(self, subjects: Iterable[int], endpoint: int, sent_at: float = ALWAYS) -> None:
        """Record that an endpoint crashed while it may have run a request.

        :param sent_at: local time at which the request was sent to it.
        """
        now = trio.current_time()
        for subject in subjects:
            is_repeated = self._evidence.is_repeated(subject, sent_at, now)
            self._add_crash(subject, endpoint, now, is_repeated=is_repeated, is_own=True)

    def record_uncertain_end(self, subjects: frozenset[int], endpoint: int) -> None:
        """Record that a stream ended with its connection, which may be a crash of its endpoint.

        It counts as one if the endpoint is known to have crashed, or is found unreachable, soon.
        """
        now = trio.current_time()
        self._evidence.add_uncertain_end(subjects, endpoint, now)
        if now - self._evidence.crashed_at(endpoint) <= UNCERTAIN_END_S:
            self.record_crash(subjects, endpoint, NEVER)

    def record_unreachable(self, endpoint: int) -> None:
        """Record that an endpoint accepted no connection."""
        self._add_uncertain(endpoint, trio.current_time())

    def record_served(self, subjects: Iterable[int]) -> None:
        """Record that an endpoint served a request completely."""
        now = trio.current_time()
        for subject in subjects:
            self._add_served(subject, now)

    def record_answer(self, endpoint: int, sent_at: float) -> None:
        """Record that an endpoint answered a request that was sent at a local time."""
        if self._evidence.add_answer(endpoint, sent_at):
            self._record_change(Change(ChangeKind.ALIVE, endpoint=endpoint))

    def record_alive(self, endpoint: int) -> None:
        """Record that an endpoint has not crashed, whatever its connections to this instance showed."""
        if self._evidence.add_alive(endpoint, trio.current_time()):
            self._record_change(Change(ChangeKind.ALIVE, endpoint=endpoint))

    def merge(self, news: CrashNews) -> None:
        """Merge the news of another instance."""
        now = trio.current_time()
        for served in news.served:
            self._add_served(served.subject, now - max(0.0, served.age_s))
        for alive in news.alive:
            if self._evidence.add_alive(alive.endpoint, now - max(0.0, alive.age_s)):
                self._record_change(Change(ChangeKind.ALIVE, endpoint=alive.endpoint))
        for crash in news.crashes:
            if crash.age_s < EVIDENCE_TTL_S:
                at = now - max(0.0, crash.age_s)
                self._add_crash(crash.subject, crash.endpoint, at, is_repeated=crash.is_repeated)

    def build_news(self, after: Position) -> CrashNews:
        """Return what was learned after a position, at most as much as fits one message."""
        self._expire()
        return self._history.build_news(after, self._evidence, trio.current_time())

    def _add_crash(
        self, subject: int, endpoint: int, at: float, *, is_repeated: bool, is_own: bool = False
    ) -> None:
        match self._evidence.add_crash(subject, endpoint, at, is_repeated=is_repeated):
            case Addition.ADDED:
                self._record_crash_change(subject, endpoint, is_own=is_own)
                self._add_uncertain(endpoint, at)
            case Addition.SERVED_SINCE:
                # Whoever reported the crash may not know that.
                self._announce_served(subject)
            case Addition.ALIVE_SINCE:
                self._record_change(Change(ChangeKind.ALIVE, endpoint=endpoint))

    def _add_uncertain(self, endpoint: int, at: float) -> None:
        """Count streams that ended when an endpoint crashed as broken."""
        for subject in self._evidence.find_uncertain(endpoint, at):
            if self._evidence.add_crash(subject, endpoint, at) is Addition.ADDED:
                self._record_change(Change(ChangeKind.CRASH, subject, endpoint))

    def _record_crash_change(self, subject: int, endpoint: int, *, is_own: bool) -> None:
        """Record a crash for other instances.

        What others reported is passed on once a second endpoint has crashed under it. A failed rack
        otherwise floods all instances with requests that were on it, and delays what matters.
        """
        known = self._evidence.crashes.get(subject, {})
        if is_own or len(known) > 2:
            self._record_change(Change(ChangeKind.CRASH, subject, endpoint))
        elif len(known) == 2:
            for each in known:
                self._record_change(Change(ChangeKind.CRASH, subject, each))
        self._is_changed = True

    def _announce_served(self, subject: int) -> None:
        served_at = self._evidence.served[subject]
        if self._announced.get(subject) == served_at:
            return
        self._announced[subject] = served_at
        if len(self._announced) > MAX_ANNOUNCED:
            self._announced.pop(next(iter(self._announced)))
        self._record_change(Change(ChangeKind.SERVED, subject))

    def _add_served(self, subject: int, at: float) -> None:
        if self._evidence.add_served(subject, at):
            self._record_change(Change(ChangeKind.SERVED, subject))

    def _record_change(self, change: Change) -> None:
        self._is_changed = True
        self._history.add(change)

    def _expire(self) -> None:
        now = trio.current_time()
        if now - self._expired_at >= EXPIRY_INTERVAL_S:
            self._expired_at = now
            self._is_changed |= self._evidence.expire(now)

    def _may_try(self, culprit: Culprit, holder: object, now: float) -> bool:
        """Return whether a request that contains a culprit may run as a trial."""
        crashes = culprit.crashes
        trial = self._trials.get(culprit.subjects)
        if trial is not None and trial.holder == holder:
            return trial.crashes == crashes
        slot = may_run_trial(culprit, self._instance, self._instances(), now)
        if slot is None or (trial is not None and (trial.slot, trial.crashes) == (slot, crashes)):
            return False
        self._trials[culprit.subjects] = _Trial(holder, slot, crashes)
        log_message(message_type='shallotmux:quarantine-trial', slot=slot, **_describe(culprit))
        return True

    def _replace_culprits(self, culprits: tuple[Culprit, ...]) -> None:
        """Set the culprits, and log which quarantines start, grow and end."""
        now = trio.current_time()
        before = {each.subjects: each for each in self._culprits}
        self._culprits = culprits
        for culprit in culprits:
            if before.pop(culprit.subjects, None) != culprit:
                log_message(
                    message_type='shallotmux:quarantine',
                    latest_age_s=round(now - culprit.latest_at, 2),
                    for_s=round(culprit.ends_at - now, 2),
                    **_describe(culprit),
                )
        for ended in before.values():
            self._trials.pop(ended.subjects, None)
            log_message(message_type='shallotmux:quarantine-ended', **_describe(ended))


def _describe(culprit: Culprit) -> dict[str, object]:
    """Return the fields of a log line that name a culprit."""
    return {
        'subjects': [f'{each:016x}' for each in sorted(culprit.subjects)[:MAX_LOGGED]],
        'crashes': culprit.crashes,
        'endpoints': len(culprit.endpoints),
        'starts': [f'{each:08x}' for each in sorted(culprit.endpoints)[:MAX_LOGGED]],
    }

"""Requests that crash the engines which run them."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from shallotmux.authority._codec import registry
from shallotmux.authority._results import Applied, Refused

#: Crashes after which a request is quarantined.
CRASH_LIMIT = 2

#: Seconds for which a request that was on a crashed engine stays suspect.
SUSPECT_S = 600.0

#: Suspicions held; the oldest are dropped first.
MAX_SUSPICIONS = 10_000


@dataclass(frozen=True, slots=True)
class RecordCrash:
    """Reports an engine crash with the requests that were on the engine.

    :param fingerprints: customer, route and body hash of each request.
    :param alone: whether the only request was on trial, with the engine to itself.
    :param quarantine_s: seconds for which a request found guilty is refused.
    """

    operation_id: str
    endpoint: str
    fingerprints: tuple[str, ...]
    alone: bool
    time_s: float
    quarantine_s: float


@dataclass(frozen=True, slots=True)
class StartTrial:
    """Claims the only run of a suspect request in the zone.

    :param limit_s: seconds after which another trial may start if this one did not end.
    """

    operation_id: str
    fingerprint: str
    claimant: str
    time_s: float
    limit_s: float


@dataclass(frozen=True, slots=True)
class EndTrial:
    """Ends a trial without a crash.

    :param cleared: whether the request got past the point at which the engine crashed.
    """

    operation_id: str
    fingerprint: str
    claimant: str
    cleared: bool


@dataclass(frozen=True, slots=True)
class LiftQuarantine:
    """Lets a quarantined request run again."""

    operation_id: str
    fingerprint: str


@dataclass(frozen=True, slots=True)
class Suspicion:
    """What is known against a request.

    :param until_s: wall-clock time at which the suspicion or the quarantine ends.
    :param trial: claimant of the running trial, or empty.
    """

    fingerprint: str
    crashes: int
    until_s: float
    quarantined: bool = False
    trial: str = ''
    trial_until_s: float = 0.0


QuarantineCommand = RecordCrash | StartTrial | EndTrial | LiftQuarantine

registry.register(RecordCrash, StartTrial, EndTrial, LiftQuarantine, Suspicion)


@dataclass(slots=True)
class QuarantineState:
    """Suspicions by fingerprint, in the order in which they arose."""

    suspicions: dict[str, Suspicion] = field(default_factory=dict)

    def apply(self, command: QuarantineCommand, revision: int) -> Applied | Refused:
        """Record a crash, start or end a trial, or lift a quarantine."""
        match command:
            case RecordCrash():
                self._record(command)
            case StartTrial():
                return self._start(command, revision)
            case EndTrial():
                self._end(command)
            case LiftQuarantine(fingerprint=fingerprint):
                if self.suspicions.pop(fingerprint, None) is None:
                    return Refused(f'{fingerprint!r} is not quarantined')
        return Applied(revision)

    def find(self, fingerprint: str, time_s: float) -> Suspicion | None:
        """Return what is known against a request at a time, or None."""
        known = self.suspicions.get(fingerprint)
        return known if known is not None and time_s < known.until_s else None

    def dump(self) -> list[bytes]:
        """Return the suspicions for a snapshot."""
        return [registry.encode(each) for each in self.suspicions.values()]

    def restore(self, dumped: list[bytes]) -> None:
        """Take the suspicions of a snapshot."""
        for each in dumped:
            known: Suspicion = registry.decode(each)
            self.suspicions[known.fingerprint] = known

    def _record(self, command: RecordCrash) -> None:
        for fingerprint in command.fingerprints:
            known = self.find(fingerprint, command.time_s) or Suspicion(fingerprint, 0, 0)
            if not known.quarantined:
                self.suspicions.pop(fingerprint, None)
                self.suspicions[fingerprint] = _blame(known, command)
        while len(self.suspicions) > MAX_SUSPICIONS:
            self.suspicions.pop(next(iter(self.suspicions)))

    def _start(self, command: StartTrial, revision: int) -> Applied | Refused:
        known = self.find(command.fingerprint, command.time_s)
        if known is None:
            return Refused('the request is not suspect')
        if known.quarantined:
            return Refused('the request is quarantined')
        if known.trial and command.time_s < known.trial_until_s:
            return Refused('another trial is running')
        self.suspicions[command.fingerprint] = replace(
            known, trial=command.claimant, trial_until_s=command.time_s + command.limit_s
        )
        return Applied(revision)

    def _end(self, command: EndTrial) -> None:
        known = self.suspicions.get(command.fingerprint)
        if known is None or known.trial != command.claimant:
            return
        if command.cleared:
            self.suspicions.pop(command.fingerprint)
        else:
            self.suspicions[command.fingerprint] = replace(known, trial='')


def _blame(known: Suspicion, command: RecordCrash) -> Suspicion:
    """Return what is known after a crash.

    Only a crash on trial counts further, since others may have shared the engine. A shared crash
    leaves a running trial as it is, so that no second trial starts beside it.
    """
    if not command.alone:
        crashes = max(known.crashes, 1)
        return replace(known, crashes=crashes, until_s=command.time_s + SUSPECT_S)
    crashes = known.crashes + 1
    guilty = crashes >= CRASH_LIMIT
    until_s = command.time_s + (command.quarantine_s if guilty else SUSPECT_S)
    return Suspicion(known.fingerprint, crashes, until_s, guilty)

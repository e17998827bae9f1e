"""Quarantine of requests that crash engines.

A request that was on a crashed engine is suspect and runs again only on trial, that is, alone on an
engine. If the engine crashes again, the request is quarantined.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from shallotmux.authority._codec import registry
from shallotmux.authority._part_crashes import ClearParts, PartCrash, PartCrashes
from shallotmux.authority._results import Applied, Refused

#: Number of crashes after which a request is quarantined.
CRASH_LIMIT = 2

#: Time in seconds for which a request that was on a crashed engine stays suspect.
SUSPECT_S = 600.0

#: Maximum number of suspicions; the oldest are dropped first.
MAX_SUSPICIONS = 10_000


@dataclass(frozen=True, slots=True)
class RecordCrash:
    """Records an engine crash and the requests that the engine was running.

    :param fingerprints: customer, route and body hash of each request.
    :param alone: whether the engine was running a single request on trial.
    :param quarantine_s: duration of a quarantine in seconds.
    :param parts: hashes of the parts of their prompts that other requests may share.
    """

    operation_id: str
    endpoint: str
    fingerprints: tuple[str, ...]
    alone: bool
    time_s: float
    quarantine_s: float
    parts: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class StartTrial:
    """Claims the trial of a suspect request; a zone runs one trial of a request at a time.

    :param limit_s: time in seconds after which another trial may start if this one has not ended.
    """

    operation_id: str
    fingerprint: str
    claimant: str
    time_s: float
    limit_s: float


@dataclass(frozen=True, slots=True)
class EndTrial:
    """Ends a trial without a crash.

    :param cleared: whether the request passed the point at which the engine had crashed.
    """

    operation_id: str
    fingerprint: str
    claimant: str
    cleared: bool


@dataclass(frozen=True, slots=True)
class LiftQuarantine:
    """Removes the suspicion or quarantine of a request."""

    operation_id: str
    fingerprint: str


@dataclass(frozen=True, slots=True)
class Suspicion:
    """Crash record of a suspect or quarantined request.

    :param until_s: wall-clock time at which the suspicion or the quarantine ends.
    :param trial: claimant of the running trial; empty if there is none.
    """

    fingerprint: str
    crashes: int
    until_s: float
    quarantined: bool = False
    trial: str = ''
    trial_until_s: float = 0.0


QuarantineCommand = RecordCrash | StartTrial | EndTrial | LiftQuarantine | ClearParts

registry.register(RecordCrash, StartTrial, EndTrial, LiftQuarantine, Suspicion)


@dataclass(slots=True)
class QuarantineState:
    """Suspicions by fingerprint, in the order in which they arose, and crashes by prompt part."""

    suspicions: dict[str, Suspicion] = field(default_factory=dict)
    parts: PartCrashes = field(default_factory=PartCrashes)

    def apply(self, command: QuarantineCommand, revision: int) -> Applied | Refused:
        """Record a crash, start or end a trial, or lift a quarantine."""
        match command:
            case RecordCrash():
                self._record(command)
                self.parts.record(
                    command.endpoint, command.parts, command.time_s, alone=command.alone
                )
            case ClearParts(parts=parts, time_s=time_s):
                self.parts.clear(parts, time_s)
            case StartTrial():
                return self._start(command, revision)
            case EndTrial():
                self._end(command)
            case LiftQuarantine(fingerprint=fingerprint):
                if self.suspicions.pop(fingerprint, None) is None:
                    return Refused(f'{fingerprint!r} is not quarantined')
        return Applied(revision)

    def find(self, fingerprint: str, time_s: float) -> Suspicion | None:
        """Return the suspicion against a request if it has not expired."""
        suspicion = self.suspicions.get(fingerprint)
        return suspicion if suspicion is not None and time_s < suspicion.until_s else None

    def dump(self) -> list[bytes]:
        """Return the suspicions for a snapshot."""
        return [registry.encode(each) for each in (*self.suspicions.values(), *self.parts.crashes)]

    def restore(self, dumped: list[bytes]) -> None:
        """Load the suspicions of a snapshot."""
        for each in dumped:
            match registry.decode(each):
                case Suspicion() as suspicion:
                    self.suspicions[suspicion.fingerprint] = suspicion
                case PartCrash() as crash:
                    self.parts.crashes.append(crash)

    def _record(self, command: RecordCrash) -> None:
        for fingerprint in command.fingerprints:
            suspicion = self.find(fingerprint, command.time_s) or Suspicion(fingerprint, 0, 0)
            if not suspicion.quarantined:
                self.suspicions.pop(fingerprint, None)
                self.suspicions[fingerprint] = _add_crash(suspicion, command)
        while len(self.suspicions) > MAX_SUSPICIONS:
            self.suspicions.pop(next(iter(self.suspicions)))

    def _start(self, command: StartTrial, revision: int) -> Applied | Refused:
        suspicion = self.find(command.fingerprint, command.time_s)
        if suspicion is None:
            return Refused('the request is not suspect')
        if suspicion.quarantined:
            return Refused('the request is quarantined')
        if suspicion.trial and command.time_s < suspicion.trial_until_s:
            return Refused('another trial is running')
        self.suspicions[command.fingerprint] = replace(
            suspicion, trial=command.claimant, trial_until_s=command.time_s + command.limit_s
        )
        return Applied(revision)

    def _end(self, command: EndTrial) -> None:
        suspicion = self.suspicions.get(command.fingerprint)
        if suspicion is None or suspicion.trial != command.claimant:
            return
        if command.cleared:
            self.suspicions.pop(command.fingerprint)
        else:
            self.suspicions[command.fingerprint] = replace(suspicion, trial='')


def _add_crash(suspicion: Suspicion, command: RecordCrash) -> Suspicion:
    """Return the suspicion after a crash.

    Only a crash on trial adds to the count, since without a trial another request on the engine may
    have caused it. A crash of a shared engine leaves a running trial unchanged, so that no second
    trial starts beside it.
    """
    if not command.alone:
        crashes = max(suspicion.crashes, 1)
        return replace(suspicion, crashes=crashes, until_s=command.time_s + SUSPECT_S)
    crashes = suspicion.crashes + 1
    is_quarantined = crashes >= CRASH_LIMIT
    until_s = command.time_s + (command.quarantine_s if is_quarantined else SUSPECT_S)
    return Suspicion(suspicion.fingerprint, crashes, until_s, is_quarantined)

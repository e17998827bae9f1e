"""Orders to engines and to the platform: intents, attempts and the term that may send them."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from shallotmux.authority._codec import registry
from shallotmux.authority._results import Applied, Refused
from shallotmux.world import EngineRole


@dataclass(frozen=True, slots=True)
class ChangeRole:
    """Sets the role of an engine."""

    role: EngineRole


@dataclass(frozen=True, slots=True)
class LoadModel:
    """Loads a version of a model on an engine."""

    model: str
    version: str


@dataclass(frozen=True, slots=True)
class LoadAdapter:
    """Loads an adapter for the model of an engine."""

    adapter: str


@dataclass(frozen=True, slots=True)
class OrderEndpoints:
    """Requests endpoints for a pool from the platform."""

    pool: str
    count: int
    cheap: bool


@dataclass(frozen=True, slots=True)
class ReleaseEndpoint:
    """Returns an endpoint to the platform."""

    endpoint: str


OrderContent = ChangeRole | LoadModel | LoadAdapter | OrderEndpoints | ReleaseEndpoint


@dataclass(frozen=True, slots=True)
class TakeAuthority:
    """Records the term of a new leader, after which commands of earlier terms are refused.

    The replication protocol alone does not stop a former leader, since its commands are forwarded
    to the new leader and committed there.
    """

    operation_id: str
    sender: str
    term: int


@dataclass(frozen=True, slots=True)
class OpenIntent:
    """Commits an order before it is sent.

    :param target: endpoint name, or ``platform/`` followed by the zone.
    :param checks_fencing: whether the target refuses outdated fencing tokens.
    """

    operation_id: str
    target: str
    content: OrderContent
    checks_fencing: bool
    term: int


@dataclass(frozen=True, slots=True)
class BeginAttempt:
    """Records an attempt to deliver an order, before it is sent."""

    operation_id: str
    target: str
    sequence: int
    sender: str
    term: int


@dataclass(frozen=True, slots=True)
class EndAttempt:
    """Records the outcome of an attempt.

    :param delivered: whether the target answered, so that the attempt is no longer in flight.
    :param outcome: outcome with which the intent is closed; empty to leave it open.
    """

    operation_id: str
    target: str
    attempt: int
    delivered: bool
    outcome: str
    term: int


@dataclass(frozen=True, slots=True)
class ForgetAttempt:
    """Removes an unanswered attempt that can no longer arrive.

    :param evidence: ``listed-as-gone`` or ``bound-passed``.
    """

    operation_id: str
    target: str
    attempt: int
    evidence: str
    term: int


@dataclass(frozen=True, slots=True)
class CloseIntent:
    """Closes an intent without an answer, for example because the engine has been removed."""

    operation_id: str
    target: str
    sequence: int
    outcome: str
    term: int


@dataclass(frozen=True, slots=True)
class Intent:
    """An open order.

    :param sequence: second part of the fencing token, counted for each target.
    """

    target: str
    sequence: int
    content: OrderContent


@dataclass(frozen=True, slots=True)
class Attempt:
    """An unanswered attempt to deliver an order."""

    number: int
    sequence: int
    sender: str


@dataclass(frozen=True, slots=True)
class Target:
    """Order state of one engine or of the platform."""

    name: str
    checks_fencing: bool = True
    sequence: int = 0
    attempts_begun: int = 0
    intent: Intent | None = None
    attempts: tuple[Attempt, ...] = ()
    last_outcome: str = ''


@dataclass(frozen=True, slots=True)
class IntentOpened:
    """The order is committed and attempts may begin."""

    intent: Intent


@dataclass(frozen=True, slots=True)
class AttemptBegun:
    """The order may be sent once, under this attempt number."""

    attempt: int


IntentCommand = TakeAuthority | OpenIntent | BeginAttempt | EndAttempt | ForgetAttempt | CloseIntent
IntentResult = Applied | Refused | IntentOpened | AttemptBegun

registry.register(ChangeRole, LoadModel, LoadAdapter, OrderEndpoints, ReleaseEndpoint)
registry.register(TakeAuthority, OpenIntent, BeginAttempt, EndAttempt, ForgetAttempt, CloseIntent)
registry.register(Intent, Attempt, Target, IntentOpened, AttemptBegun)


@dataclass(slots=True)
class IntentState:
    """Order targets, and the term of the leader that may send orders."""

    term: int = 0
    targets: dict[str, Target] = field(default_factory=dict)

    def apply(self, command: IntentCommand, revision: int) -> IntentResult:
        """Apply a command of the current term; commands of earlier terms are refused."""
        if command.term < self.term:
            return Refused(f'term {command.term} is over; the current term is {self.term}')
        match command:
            case TakeAuthority(term=term):
                self.term = term
            case _ if command.term > self.term:
                return Refused(f'term {command.term} has not taken authority')
            case OpenIntent():
                return self._open(command)
            case BeginAttempt():
                return self._begin(command)
            case EndAttempt():
                return self._end(command, revision)
            case ForgetAttempt(target=target, attempt=attempt):
                self._forget(self.target(target), attempt)
            case CloseIntent():
                return self._close(command, revision)
        return Applied(revision)

    def target(self, name: str) -> Target:
        """Return a target, or a new one if no order was sent to it yet."""
        return self.targets.get(name, Target(name))

    def open_intents(self) -> tuple[Intent, ...]:
        """Return the open intents in the order of the target names."""
        by_name = sorted(self.targets.items())
        return tuple(target.intent for _, target in by_name if target.intent is not None)

    def is_changing(self, endpoint: str) -> bool:
        """Return whether an engine has an open order and must not receive new requests."""
        return self.target(endpoint).intent is not None or endpoint in self.releasing()

    def releasing(self) -> frozenset[str]:
        """Return the endpoints that open orders return to the platform."""
        contents = (intent.content for intent in self.open_intents())
        return frozenset(each.endpoint for each in contents if isinstance(each, ReleaseEndpoint))

    def dump(self) -> list[bytes]:
        """Return the term and the targets for a snapshot."""
        return [
            str(self.term).encode(),
            *(registry.encode(target) for target in self.targets.values()),
        ]

    def restore(self, dumped: list[bytes]) -> None:
        """Load the term and the targets of a snapshot."""
        self.term = int(dumped[0])
        for each in dumped[1:]:
            target: Target = registry.decode(each)
            self.targets[target.name] = target

    def _open(self, command: OpenIntent) -> IntentResult:
        target = self.target(command.target)
        if target.intent is not None:
            return Refused(f'{target.name!r} has an open order {target.intent.sequence}')
        if target.attempts and not command.checks_fencing:
            senders = ', '.join(sorted({attempt.sender for attempt in target.attempts}))
            return Refused(f'{target.name!r} ignores fencing and may still hear from {senders}')
        intent = Intent(target.name, target.sequence + 1, command.content)
        self.targets[target.name] = replace(
            target,
            checks_fencing=command.checks_fencing,
            sequence=intent.sequence,
            intent=intent,
            # A target that checks fencing tokens refuses earlier orders itself.
            attempts=(),
        )
        return IntentOpened(intent)

    def _begin(self, command: BeginAttempt) -> IntentResult:
        target = self.target(command.target)
        if target.intent is None or target.intent.sequence != command.sequence:
            return Refused(f'{target.name!r} has no open order {command.sequence}')
        number = target.attempts_begun + 1
        attempt = Attempt(number, command.sequence, command.sender)
        self.targets[target.name] = replace(
            target, attempts_begun=number, attempts=(*target.attempts, attempt)
        )
        return AttemptBegun(number)

    def _end(self, command: EndAttempt, revision: int) -> IntentResult:
        target = self.target(command.target)
        matching = [each for each in target.attempts if each.number == command.attempt]
        if not matching:
            return Refused(f'{target.name!r} has no attempt {command.attempt}')
        if command.delivered:
            attempts = tuple(each for each in target.attempts if each not in matching)
            target = replace(target, attempts=attempts)
        open_sequence = target.intent.sequence if target.intent else None
        if command.outcome and matching[0].sequence == open_sequence:
            target = replace(target, intent=None, last_outcome=command.outcome)
        self.targets[target.name] = target
        return Applied(revision)

    def _close(self, command: CloseIntent, revision: int) -> IntentResult:
        target = self.target(command.target)
        if target.intent is None or target.intent.sequence != command.sequence:
            return Refused(f'{target.name!r} has no open order {command.sequence}')
        self.targets[target.name] = replace(target, intent=None, last_outcome=command.outcome)
        return Applied(revision)

    def _forget(self, target: Target, attempt: int) -> None:
        attempts = tuple(each for each in target.attempts if each.number != attempt)
        self.targets[target.name] = replace(target, attempts=attempts)

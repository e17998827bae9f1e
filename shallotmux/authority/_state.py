"""The replicated state of a zone."""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from dataclasses import dataclass, field
from typing import Any, cast

import msgspec

from shallotmux.authority._codec import registry
from shallotmux.authority._configuration import (
    ConfigurationState,
    DeleteObject,
    PutObject,
)
from shallotmux.authority._document import (
    DocumentRead,
    DocumentState,
    PutDocument,
    ReadDocument,
)
from shallotmux.authority._intents import (
    BeginAttempt,
    CloseIntent,
    EndAttempt,
    ForgetAttempt,
    IntentCommand,
    IntentResult,
    IntentState,
    OpenIntent,
    TakeAuthority,
)
from shallotmux.authority._inventory import InventoryState, ObserveEndpoints
from shallotmux.authority._keys import CreateKey, KeyState, WithdrawKey
from shallotmux.authority._ledger import (
    AbandonClaims,
    AbandonJob,
    ClaimFinished,
    ClaimJob,
    FinishJob,
    JobLedger,
    LedgerCommand,
    LedgerResult,
    ReleaseJob,
)
from shallotmux.authority._part_crashes import ClearParts
from shallotmux.authority._quarantine import (
    EndTrial,
    LiftQuarantine,
    QuarantineCommand,
    QuarantineState,
    RecordCrash,
    StartTrial,
)
from shallotmux.authority._reports import AcceptReport, FixReport, ReportState
from shallotmux.authority._results import Applied, Conflict, Refused
from shallotmux.authority._usage import (
    FreezeWindow,
    MarkReported,
    RecordUsage,
    UsageCommand,
    UsageState,
)
from shallotmux.world import Customer, CustomerKey, Endpoint, EndpointPool, Route

Command = (
    PutObject
    | DeleteObject
    | CreateKey
    | WithdrawKey
    | LedgerCommand
    | QuarantineCommand
    | IntentCommand
    | UsageCommand
    | ObserveEndpoints
    | PutDocument
    | ReadDocument
    | FixReport
    | AcceptReport
)
#: Commands that only the leader of the current term may submit.
LeaderCommand = IntentCommand | FreezeWindow | MarkReported | ObserveEndpoints
Result = Applied | Conflict | Refused | LedgerResult | IntentResult | DocumentRead

registry.register(Applied, Conflict, Refused)

#: Size in bytes of the digests that tell a retried command from another one with the same
#: operation id.
DIGEST_BYTES = 8

#: Number of results kept for retried operations.
MAX_RESULTS = 20_000


def encode_command(command: Command) -> bytes:
    """Encode a command as the payload of a log entry."""
    return registry.encode(command)


def decode_command(payload: bytes) -> Command:
    """Decode the command in the payload of a log entry."""
    return cast(Command, registry.decode(payload))


def encode_result(result: Result) -> bytes:
    """Encode a result for another instance."""
    return registry.encode(result)


def decode_result(payload: bytes) -> Result:
    """Decode the result sent by another instance."""
    return cast(Result, registry.decode(payload))


@dataclass(slots=True)
class ZoneState:
    """Configuration, keys, jobs, orders, usage and endpoints of one zone.

    Replicas that apply the same commands in the same order hold the same state, so applying a
    command must not read a clock or a random source. Each part of the state has its own module.
    """

    revision: int = 0
    configuration: ConfigurationState = field(default_factory=ConfigurationState)
    keys: KeyState = field(default_factory=KeyState)
    ledger: JobLedger = field(default_factory=JobLedger)
    intents: IntentState = field(default_factory=IntentState)
    usage: UsageState = field(default_factory=UsageState)
    inventory: InventoryState = field(default_factory=InventoryState)
    quarantine: QuarantineState = field(default_factory=QuarantineState)
    document: DocumentState = field(default_factory=DocumentState)
    reports: ReportState = field(default_factory=ReportState)
    results: OrderedDict[str, Result] = field(default_factory=OrderedDict)
    #: Digests of the commands that returned the results, by operation id.
    digests: dict[str, bytes] = field(default_factory=dict)

    def apply(self, command: Command) -> Result:
        """Apply a committed command, or return the first result of a retried operation.

        :returns: the result for the submitter.
        """
        if isinstance(command, ReadDocument):
            # A read has no effect, so a retry is harmless; its result is too large to keep.
            return self._dispatch(command, self.revision)
        digest = hashlib.blake2b(registry.encode(command), digest_size=DIGEST_BYTES).digest()
        earlier = self.results.get(command.operation_id)
        if earlier is not None and self.digests.get(command.operation_id) == digest:
            return earlier
        if earlier is not None:
            return Refused(f'operation id {command.operation_id!r} was used for another command')
        result = self._dispatch(command, self.revision + 1)
        if isinstance(result, Applied):
            self.revision = result.revision
        if not isinstance(result, ClaimFinished):
            # A retried claim finds the answer in the ledger, which limits the size of answers.
            self.results[command.operation_id] = result
            self.digests[command.operation_id] = digest
        if len(self.results) > MAX_RESULTS:
            oldest, _ = self.results.popitem(last=False)
            self.digests.pop(oldest)
        return result

    def snapshot(self) -> bytes:
        """Encode the whole state for :meth:`restore`."""
        return msgspec.msgpack.encode(
            {
                'revision': self.revision,
                'results': [
                    (name, registry.encode(stored), self.digests[name])
                    for name, stored in self.results.items()
                ],
                **{name: part.dump() for name, part in self._parts().items()},
            },
        )

    @classmethod
    def restore(cls, payload: bytes) -> ZoneState:
        """Decode the state of a snapshot."""
        data = msgspec.msgpack.decode(payload)
        state = cls(revision=data['revision'])
        for name, part in state._parts().items():  # noqa: SLF001
            # A snapshot of an earlier release lacks the parts that were added later.
            if name in data:
                part.restore(data[name])
        for name, stored, digest in data['results']:
            state.results[name] = registry.decode(stored)
            state.digests[name] = digest
        return state

    def customer(self, name: str) -> Customer | None:
        """Return a customer by name."""
        found = self.configuration.objects.get(('customer', name))
        return found.item if found and isinstance(found.item, Customer) else None

    def route(self, name: str) -> Route | None:
        """Return a route by name."""
        found = self.configuration.objects.get(('route', name))
        return found.item if found and isinstance(found.item, Route) else None

    def pool(self, name: str) -> EndpointPool | None:
        """Return an endpoint pool by name."""
        found = self.configuration.objects.get(('pool', name))
        return found.item if found and isinstance(found.item, EndpointPool) else None

    def endpoints_of(self, pool: str) -> tuple[Endpoint, ...]:
        """Return the endpoints of a pool that may receive new requests.

        Endpoints about to be withdrawn and engines with an open order are left out.
        """
        configured = self.pool(pool)
        configured_endpoints = configured.endpoints if configured else ()
        return tuple(
            endpoint
            for endpoint in (*configured_endpoints, *self.inventory.of_pool(pool))
            if not (
                self.inventory.is_leaving(endpoint.name) or self.intents.is_changing(endpoint.name)
            )
        )

    def find_endpoint(self, name: str) -> Endpoint | None:
        """Return an endpoint by name, from the platform's list or from the configured pools."""
        listed = self.inventory.listed.get(name)
        if listed is not None:
            return listed.endpoint
        configured = (endpoint for pool in self.pools() for endpoint in pool.endpoints)
        return next((endpoint for endpoint in configured if endpoint.name == name), None)

    def pools(self) -> tuple[EndpointPool, ...]:
        """Return all endpoint pools in the order of their names."""
        by_key = sorted(self.configuration.objects.items())
        return tuple(each.item for _, each in by_key if isinstance(each.item, EndpointPool))

    def routes(self) -> tuple[Route, ...]:
        """Return all routes in the order of their names."""
        by_key = sorted(self.configuration.objects.items())
        return tuple(each.item for _, each in by_key if isinstance(each.item, Route))

    def key_by_digest(self, digest: str) -> CustomerKey | None:
        """Return the key with this digest, withdrawn or not."""
        return self.keys.by_digest(digest)

    def _parts(self) -> dict[str, Any]:
        return {
            'configuration': self.configuration,
            'keys': self.keys,
            'ledger': self.ledger,
            'intents': self.intents,
            'usage': self.usage,
            'inventory': self.inventory,
            'quarantine': self.quarantine,
            'document': self.document,
            'reports': self.reports,
        }

    def _dispatch(self, command: Command, revision: int) -> Result:
        match command:
            case PutObject() | DeleteObject():
                return self.configuration.apply(command, revision)
            case CreateKey() | WithdrawKey():
                return self._apply_key(command, revision)
            case ClaimJob() | FinishJob() | ReleaseJob() | AbandonJob() | AbandonClaims():
                return self.ledger.apply(command, revision)
            case RecordCrash() | StartTrial() | EndTrial() | LiftQuarantine() | ClearParts():
                return self.quarantine.apply(command, revision)
            case PutDocument() | FixReport() | AcceptReport() | RecordUsage():
                return self._apply_instance_command(command, revision)
            case ReadDocument():
                return DocumentRead(self.document.version, self.document.content)
            case _:
                return self._apply_leader_command(command, revision)

    def _apply_key(self, command: CreateKey | WithdrawKey, revision: int) -> Result:
        if isinstance(command, CreateKey) and self.customer(command.key.customer) is None:
            return Refused(f'customer {command.key.customer!r} does not exist')
        return self.keys.apply(command, revision)

    def _apply_instance_command(
        self, command: PutDocument | FixReport | AcceptReport | RecordUsage, revision: int
    ) -> Result:
        """Apply a command that any instance may submit for the document, reports or usage."""
        match command:
            case PutDocument():
                return self.document.apply(command, revision)
            case RecordUsage():
                return self.usage.apply(command, revision)
            case _:
                return self.reports.apply(command, revision)

    def _apply_leader_command(self, command: LeaderCommand, revision: int) -> Result:
        """Apply a command that only the leader of the current term may submit."""
        match command:
            case FreezeWindow() | MarkReported() | ObserveEndpoints() if (
                command.term != self.intents.term
            ):
                return Refused(f'term {command.term} has no authority')
            case FreezeWindow() | MarkReported():
                return self.usage.apply(command, revision)
            case ObserveEndpoints():
                return self.inventory.apply(command, revision)
            case (
                TakeAuthority()
                | OpenIntent()
                | BeginAttempt()
                | EndAttempt()
                | ForgetAttempt()
                | CloseIntent()
            ):
                return self.intents.apply(command, revision)

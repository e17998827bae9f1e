"""Configuration objects of a zone, changed by compare-and-set on their revisions."""

from __future__ import annotations

from dataclasses import dataclass, field

from shallotmux.authority._codec import registry
from shallotmux.authority._results import Applied, Conflict, Refused
from shallotmux.world import (
    Contract,
    Customer,
    Defaults,
    Endpoint,
    EndpointPool,
    PolicyException,
    Route,
)

ConfigItem = Customer | Route | EndpointPool | Defaults | PolicyException


@dataclass(frozen=True, slots=True)
class PutObject:
    """Creates or replaces a configuration object.

    :param expected_revision: revision that the writer last read; 0 if the object must not exist.
    """

    operation_id: str
    item: ConfigItem
    expected_revision: int


@dataclass(frozen=True, slots=True)
class DeleteObject:
    """Removes a configuration object."""

    operation_id: str
    kind: str
    name: str
    expected_revision: int


@dataclass(frozen=True, slots=True)
class Versioned:
    """A configuration object with the revision of its last write."""

    item: ConfigItem
    revision: int


registry.register(PutObject, DeleteObject, Versioned)
registry.register(Customer, Contract, Route, EndpointPool, Endpoint, Defaults, PolicyException)


def object_kind(item: ConfigItem) -> str:
    """Return the kind of an object, used as the first part of its key."""
    match item:
        case Customer():
            return 'customer'
        case Route():
            return 'route'
        case EndpointPool():
            return 'pool'
        case Defaults():
            return 'defaults'
        case PolicyException():
            return 'exception'


@dataclass(slots=True)
class ConfigurationState:
    """Configuration objects by kind and name."""

    objects: dict[tuple[str, str], Versioned] = field(default_factory=dict)

    def apply(
        self, command: PutObject | DeleteObject, revision: int
    ) -> Applied | Conflict | Refused:
        """Apply a command if its expected revision is the current one.

        :param revision: revision that a successful write is given.
        """
        match command:
            case PutObject(item=item):
                key = (object_kind(item), item.name)
            case DeleteObject(kind=kind, name=name):
                key = (kind, name)
        current = self.objects.get(key)
        current_revision = current.revision if current else 0
        if command.expected_revision != current_revision:
            return Conflict('/'.join(key), current_revision)
        return self._write(key, command, revision)

    def dump(self) -> list[bytes]:
        """Return the objects for a snapshot."""
        return [registry.encode(versioned) for versioned in self.objects.values()]

    def restore(self, dumped: list[bytes]) -> None:
        """Load the objects of a snapshot."""
        for each in dumped:
            versioned: Versioned = registry.decode(each)
            self.objects[object_kind(versioned.item), versioned.item.name] = versioned

    def _write(
        self, key: tuple[str, str], command: PutObject | DeleteObject, revision: int
    ) -> Applied | Conflict | Refused:
        match command:
            case PutObject(item=PolicyException(reason=reason)) if not reason.strip():
                return Refused(f'exception {key[1]!r} has no reason')
            case PutObject(item=item):
                self.objects[key] = Versioned(item, revision)
            case DeleteObject() if key not in self.objects:
                return Conflict('/'.join(key), 0)
            case DeleteObject():
                self.objects.pop(key)
        return Applied(revision)

"""Configuration objects of a zone: commands, state, compare-and-set."""

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

    :param expected_revision: revision the writer has seen; 0 when the object must not exist.
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
    """A configuration object with the revision that wrote it."""

    item: ConfigItem
    revision: int


registry.register(PutObject, DeleteObject, Versioned)
registry.register(Customer, Contract, Route, EndpointPool, Endpoint, Defaults, PolicyException)


def object_kind(item: ConfigItem) -> str:
    """Return the kind under which an object is kept and addressed."""
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
        """Apply a command if the writer has seen the current revision.

        :param revision: revision that a successful write takes.
        """
        match command:
            case PutObject(item=item):
                place = (object_kind(item), item.name)
            case DeleteObject(kind=kind, name=name):
                place = (kind, name)
        current = self.objects.get(place)
        winning = current.revision if current else 0
        if command.expected_revision != winning:
            return Conflict('/'.join(place), winning)
        return self._write(place, command, revision)

    def dump(self) -> list[bytes]:
        """Return the objects for a snapshot."""
        return [registry.encode(kept) for kept in self.objects.values()]

    def restore(self, dumped: list[bytes]) -> None:
        """Take the objects of a snapshot."""
        for each in dumped:
            kept: Versioned = registry.decode(each)
            self.objects[object_kind(kept.item), kept.item.name] = kept

    def _write(
        self, place: tuple[str, str], command: PutObject | DeleteObject, revision: int
    ) -> Applied | Conflict | Refused:
        match command:
            case PutObject(item=PolicyException(reason=reason)) if not reason.strip():
                return Refused(f'exception {place[1]!r} has no reason')
            case PutObject(item=item):
                self.objects[place] = Versioned(item, revision)
            case DeleteObject() if place not in self.objects:
                return Conflict('/'.join(place), 0)
            case DeleteObject():
                self.objects.pop(place)
        return Applied(revision)

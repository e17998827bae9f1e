"""Endpoints that the platform lists, beside those of the operators' pools."""

from __future__ import annotations

from dataclasses import dataclass, field

from shallotmux.authority._codec import registry
from shallotmux.authority._results import Applied
from shallotmux.world import Endpoint


@dataclass(frozen=True, slots=True)
class ListedEndpoint:
    """An endpoint as the platform lists it.

    :param pool: pool that it was ordered for, or empty for one of an operator's pool.
    :param leaving: whether the platform will take it away.
    :param deadline_s: wall-clock time in seconds at which it is gone, 0 when not known.
    """

    endpoint: Endpoint
    pool: str = ''
    leaving: bool = False
    deadline_s: float = 0.0


@dataclass(frozen=True, slots=True)
class ObserveEndpoints:
    """Records changes in the platform's list."""

    operation_id: str
    changed: tuple[ListedEndpoint, ...]
    removed: tuple[str, ...]
    term: int


registry.register(ListedEndpoint, ObserveEndpoints)


@dataclass(slots=True)
class InventoryState:
    """Listed endpoints by name."""

    listed: dict[str, ListedEndpoint] = field(default_factory=dict)

    def apply(self, command: ObserveEndpoints, revision: int) -> Applied:
        """Record the changes."""
        for each in command.changed:
            self.listed[each.endpoint.name] = each
        for name in command.removed:
            self.listed.pop(name, None)
        return Applied(revision)

    def is_leaving(self, name: str) -> bool:
        """Tell whether an endpoint must not get new work because it is going away."""
        listed = self.listed.get(name)
        return listed is not None and listed.leaving

    def of_pool(self, pool: str) -> tuple[Endpoint, ...]:
        """Return the endpoints that were ordered for a pool."""
        kept = sorted(self.listed.items())
        return tuple(each.endpoint for _, each in kept if each.pool == pool)

    def dump(self) -> list[bytes]:
        """Return the list for a snapshot."""
        return [registry.encode(each) for each in self.listed.values()]

    def restore(self, dumped: list[bytes]) -> None:
        """Take the list of a snapshot."""
        for each in dumped:
            listed: ListedEndpoint = registry.decode(each)
            self.listed[listed.endpoint.name] = listed

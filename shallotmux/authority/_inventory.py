"""Endpoints listed by the platform, in addition to those in the configured pools."""

from __future__ import annotations

from dataclasses import dataclass, field

from shallotmux.authority._codec import registry
from shallotmux.authority._results import Applied
from shallotmux.world import Endpoint


@dataclass(frozen=True, slots=True)
class ListedEndpoint:
    """An endpoint as listed by the platform.

    :param pool: pool that it was ordered for; empty for an endpoint of a configured pool.
    :param leaving: whether the platform is going to withdraw it.
    :param deadline_s: wall-clock time of the withdrawal in seconds, 0 if unknown.
    """

    endpoint: Endpoint
    pool: str = ''
    leaving: bool = False
    deadline_s: float = 0.0


@dataclass(frozen=True, slots=True)
class ObserveEndpoints:
    """Records changes in the list of the platform."""

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
        """Add, replace and remove endpoints."""
        for each in command.changed:
            self.listed[each.endpoint.name] = each
        for name in command.removed:
            self.listed.pop(name, None)
        return Applied(revision)

    def is_leaving(self, name: str) -> bool:
        """Return whether the platform is going to withdraw an endpoint."""
        listed = self.listed.get(name)
        return listed is not None and listed.leaving

    def of_pool(self, pool: str) -> tuple[Endpoint, ...]:
        """Return the endpoints that were ordered for a pool."""
        by_name = sorted(self.listed.items())
        return tuple(each.endpoint for _, each in by_name if each.pool == pool)

    def dump(self) -> list[bytes]:
        """Return the listed endpoints for a snapshot."""
        return [registry.encode(each) for each in self.listed.values()]

    def restore(self, dumped: list[bytes]) -> None:
        """Load the listed endpoints of a snapshot."""
        for each in dumped:
            listed: ListedEndpoint = registry.decode(each)
            self.listed[listed.endpoint.name] = listed

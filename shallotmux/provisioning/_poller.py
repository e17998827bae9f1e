"""Poll the platform's lists of endpoints and instances."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterable

import trio
from eliot import log_message

from shallotmux.authority import Command, ListedEndpoint, ObserveEndpoints, ZoneState
from shallotmux.errors import EndpointError
from shallotmux.provisioning._client import PlatformEndpoint, PlatformListClient

#: Interval at which the lists are polled.
POLL_INTERVAL_S = 1.0

#: Age beyond which the list of instances is no evidence that an instance is gone.
MAX_LIST_AGE_S = 5.0


class PlatformPoller:
    """Commits changes of the endpoint list to the zone's state, and caches the instance list.

    :param zone: availability zone whose endpoints are polled.
    :param wall_clock: returns the wall-clock time in seconds.
    """

    def __init__(
        self, platform: PlatformListClient, zone: str, wall_clock: Callable[[], float]
    ) -> None:
        self._platform = platform
        self._zone = zone
        self._wall_clock = wall_clock
        self._instances: frozenset[str] = frozenset()
        self._instances_listed_at = -MAX_LIST_AGE_S
        self._removed_endpoints: set[str] = set()

    def is_instance_gone(self, sender: str) -> bool:
        """Return whether the instance of a sender is missing from a recent list.

        :param sender: ``INSTANCE/INCARNATION``.
        """
        is_recent = trio.current_time() - self._instances_listed_at < MAX_LIST_AGE_S
        return is_recent and sender.partition('/')[0] not in self._instances

    def is_endpoint_gone(self, name: str) -> bool:
        """Return whether an endpoint was listed before and no longer is."""
        return name in self._removed_endpoints

    async def run(
        self,
        read: Callable[[], ZoneState],
        commit: Callable[[Command], Awaitable[object]],
        term: int,
        operation_id: Callable[[], str],
    ) -> None:
        """Poll the lists until cancelled.

        :param read: returns the zone's state.
        :param commit: commits a command.
        :param term: term in which this instance leads the zone.
        :param operation_id: returns a new operation id.
        """
        while True:
            try:
                listed = await self._platform.list_endpoints(self._zone)
                await self._update_instances()
            except EndpointError as error:
                log_message(message_type='shallotmux:platform-unreachable', detail=str(error))
            else:
                changed, removed = self._compare(read(), listed)
                if changed or removed:
                    await commit(ObserveEndpoints(operation_id(), changed, removed, term))
            await trio.sleep(POLL_INTERVAL_S)

    async def _update_instances(self) -> None:
        instances = await self._platform.list_instances()
        self._instances = frozenset(each.name for each in instances)
        self._instances_listed_at = trio.current_time()

    def _compare(
        self, state: ZoneState, listed: Iterable[PlatformEndpoint]
    ) -> tuple[tuple[ListedEndpoint, ...], tuple[str, ...]]:
        listed_before = state.inventory.listed
        current = {each.endpoint.name: each for each in listed}
        changed = tuple(
            self._build_listed_endpoint(each)
            for name, each in current.items()
            if name not in listed_before
            or (listed_before[name].endpoint, listed_before[name].leaving)
            != (each.endpoint, each.leaving)
        )
        removed = tuple(name for name in listed_before if name not in current)
        self._removed_endpoints.update(removed)
        self._removed_endpoints.difference_update(current)
        return changed, removed

    def _build_listed_endpoint(self, listed: PlatformEndpoint) -> ListedEndpoint:
        deadline_s = self._wall_clock() + listed.remaining_s if listed.leaving else 0
        return ListedEndpoint(listed.endpoint, listed.pool, listed.leaving, deadline_s)

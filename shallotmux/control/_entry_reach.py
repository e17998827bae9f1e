"""Zones of the entry instances, and the services that they do not reach, as their polls report."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Sequence
from random import Random

from eliot import log_message

from shallotmux.fleet import MAX_NEIGHBOURS, CutOff, Poll
from shallotmux.transport import instance_name


class EntryReach:
    """What the polls of entry instances tell of where they are and what they reach."""

    def __init__(self) -> None:
        self._random = Random()  # noqa: S311
        self._zones: dict[str, str] = {}
        self._cut_off: dict[str, tuple[str, ...]] = {}

    def record(self, poll: Poll) -> bool:
        """Record the zone of an instance, and the services of which it reaches no endpoint.

        :returns: whether its zone is another one than before.
        """
        name = instance_name(poll.sender)
        has_moved = self._zones.get(name) != poll.zone
        self._zones[name] = poll.zone
        if poll.cut_off != self._cut_off.get(name, ()):
            log_message(
                message_type='shallotmux:entry-cut-off', instance=name, services=list(poll.cut_off)
            )
        if poll.cut_off:
            self._cut_off[name] = poll.cut_off
        else:
            self._cut_off.pop(name, None)
        return has_moved

    def keep(self, live: Sequence[str]) -> None:
        """Forget the zones of all other instances."""
        self._zones = {name: self._zones[name] for name in live if name in self._zones}

    def neighbours(self, zone: str, live: Sequence[str]) -> tuple[str, ...]:
        """Return live entry instances of a zone for earlier builds, at most :data:`MAX_NEIGHBOURS`."""
        self.keep(live)
        found = [name for name, each in self._zones.items() if each == zone]
        if len(found) > MAX_NEIGHBOURS:
            found = self._random.sample(found, MAX_NEIGHBOURS)
        return tuple(found)

    def zone_of(self, name: str) -> str:
        """Return the zone of an entry instance; empty if unknown."""
        return self._zones.get(name, '')

    def zones_of(self, live: Sequence[str]) -> dict[str, str]:
        """Return the zones of live entry instances by name; empty if unknown."""
        return {name: self._zones.get(name, '') for name in live}

    def cut_off(self, live: Sequence[str]) -> tuple[CutOff, ...]:
        """Return which live entry instances reach no endpoint of a service."""
        if not self._cut_off:
            return ()
        alive = frozenset(live)
        self._cut_off = {name: each for name, each in self._cut_off.items() if name in alive}
        names: dict[str, list[str]] = defaultdict(list)
        for name, services in sorted(self._cut_off.items()):
            for each in services:
                names[each].append(name)
        return tuple(CutOff(service, tuple(found)) for service, found in sorted(names.items()))

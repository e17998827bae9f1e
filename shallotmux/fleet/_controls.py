"""Control instances as known to an entry instance: which one it follows, and which get reports."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import replace
from math import inf

from eliot import log_message

from shallotmux.fleetnews import ControlInstance, choose_main

#: Time for which a control instance that did not answer is skipped while others are available.
RETRY_PEER_AFTER_S = 2.0


class ControlInstances:
    """Names, zones and last answers of the control instances.

    :param seeds: names of the control instances in the settings.
    :param zone: availability zone of this entry instance.
    :param name: name of this entry instance.
    """

    def __init__(self, seeds: Iterable[str], zone: str, name: str) -> None:
        self._zone = zone
        self._name = name
        self._seeds = tuple(seeds)
        self._known = {each: ControlInstance(each) for each in self._seeds}
        self._last_reported = ''
        self._last_main: str | None = None
        self._followed: str | None = None

    @property
    def names(self) -> tuple[str, ...]:
        """Return the names of the control instances."""
        return tuple(self._known)

    def update_seeds(self, seeds: Iterable[str]) -> None:
        """Set the seeds of changed settings and add them to the known instances."""
        self._seeds = tuple(seeds)
        self._add(self._seeds)

    def replace(self, named: Iterable[str]) -> None:
        """Keep the named instances and the seeds; others have left the group."""
        wanted = {*named, *self._seeds}
        self._known = {name: each for name, each in self._known.items() if name in wanted}
        self._add(sorted(wanted))

    def update_zones(self, zones: Mapping[str, str]) -> None:
        """Set the zones of known instances; empty ones are unknown."""
        for name, zone in zones.items():
            known = self._known.get(name)
            if known is not None and zone and zone != known.zone:
                self._known[name] = replace(known, zone=zone)

    def choose_main(self) -> str | None:
        """Return the instance to follow; None if none is known."""
        self._last_main = choose_main(self._known.values(), self._zone, self._name)
        return self._last_main

    def record_followed(self, peer: str) -> None:
        """Record that an instance answered as the followed one."""
        if peer != self._followed and peer in self._known:
            self._followed = peer
            log_message(
                message_type='shallotmux:control-followed', peer=peer, zone=self._known[peer].zone
            )

    def next_for_report(self, now: float) -> str | None:
        """Return the next instance in turn that is due for a report; None if there is none.

        Instances without an answer are skipped for a while.
        """
        due = [name for name in self._reported() if (self._known[name].retry_at or -inf) <= now]
        if not due:
            return None
        self._last_reported = min(due, key=lambda name: (name <= self._last_reported, name))
        return self._last_reported

    def report_count(self) -> int:
        """Return the number of instances that get reports, beside the one that is followed."""
        return len(self._reported())

    def record_answer(self, peer: str, list_age_s: float, *, is_settled: bool) -> None:
        """Record an answer.

        :param list_age_s: age of the peer's list of endpoints; infinite if it has none.
        :param is_settled: whether all live entry instances have had the time to poll the peer.
        """
        known = self._known.get(peer)
        if known is None:
            return
        if known.retry_at is not None:
            log_message(message_type='shallotmux:control-regained', peer=peer)
        self._known[peer] = replace(
            known, retry_at=None, list_age_s=list_age_s, is_settled=is_settled
        )

    def record_lost(self, peer: str, reason: str, now: float) -> None:
        """Record that a poll had no answer."""
        known = self._known.get(peer)
        if known is None:
            return
        if known.retry_at is None:
            log_message(message_type='shallotmux:control-lost', peer=peer, reason=reason)
        self._known[peer] = replace(known, retry_at=now + RETRY_PEER_AFTER_S)

    def _reported(self) -> list[str]:
        return [name for name in self._known if name != self._last_main]

    def _add(self, names: Iterable[str]) -> None:
        for name in names:
            self._known.setdefault(name, ControlInstance(name))

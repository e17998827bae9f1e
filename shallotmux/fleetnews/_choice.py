"""Choice of the control instance that an entry instance follows."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from shallotmux.rendezvous import rank_owners

#: Age of its list at a control instance's answer beyond which another one is preferred. The list is read
#: every 0.8 s by default, reading it takes up to some hundred ms, and it is taken from the leader every 0.2 s.
MAX_LIST_AGE_S = 1.4


@dataclass(frozen=True, slots=True)
class ControlInstance:
    """A control instance as an entry instance knows it.

    :param zone: its availability zone; empty if unknown.
    :param retry_at: time from which it is called again after a call without an answer; None if its
        last call had one.
    :param list_age_s: age of its list of endpoints at its last answer; infinite if it had none.
    :param is_settled: whether all live entry instances have had the time to poll it.
    """

    name: str
    zone: str = ''
    retry_at: float | None = None
    list_age_s: float = 0.0
    is_settled: bool = True


def choose_main(controls: Iterable[ControlInstance], zone: str, chooser: str) -> str | None:
    """Return the control instance to follow; None if none is known.

    All entry instances of a zone prefer the same one, which decides for the zone. Beyond the zone,
    each has an order of its own, so that a zone without control instances spreads over the others.

    :param zone: zone of the entry instance.
    :param chooser: name of the entry instance.
    """
    known = tuple(controls)
    owners = rank_owners(chooser.encode(), (each.name for each in known))
    order = {name: index for index, name in enumerate(owners)}
    chosen = min(known, key=lambda each: _rank(each, zone, order[each.name]), default=None)
    return None if chosen is None else chosen.name


def _rank(control: ControlInstance, zone: str, order: int) -> tuple[object, ...]:
    """Return the key by which control instances are sorted, the preferred one first.

    :param order: place of the control instance in the order of the entry instance.
    """
    is_own = bool(zone) and control.zone == zone
    return (
        (control.retry_at is not None, control.retry_at or 0.0),
        (not control.is_settled, not 0 <= control.list_age_s <= MAX_LIST_AGE_S),
        (not is_own, 0 if is_own else order, control.name),
    )

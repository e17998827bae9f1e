"""Choose the plain endpoint of a request by load and zone."""

from __future__ import annotations

from collections.abc import Callable

import trio

from shallotmux.forwarding._state import EndpointState

#: Difference of the estimated loads of two plain endpoints that decides between them. Below it, one is
#: drawn, so that one that looks best by chance does not get the requests of all instances.
LOAD_TIE = 0.1


def _never_pays(*_: EndpointState) -> bool:
    return False


def choose_least_loaded(
    candidates: list[EndpointState],
    zone: str,
    draw: Callable[[], float],
    rank_load: Callable[[EndpointState, float], float],
    pays: Callable[[EndpointState, EndpointState], bool] = _never_pays,
) -> EndpointState | None:
    """Return the endpoint with the lowest estimated load, in another zone only if that pays.

    :param draw: returns random numbers to break ties, so that instances that see equal loads choose
        different endpoints.
    :param rank_load: returns the estimated load of an endpoint at a time, see
        :meth:`~shallotmux.estimates.Estimator.rank_plain`.
    :param pays: returns whether the second endpoint, of another zone, saves more than it costs.
    """
    now = trio.current_time()

    def rank(state: EndpointState) -> tuple[int, float]:
        return round(rank_load(state, now) / LOAD_TIE), draw()

    near = min((each for each in candidates if each.listed.zone == zone), key=rank, default=None)
    far = min((each for each in candidates if each.listed.zone != zone), key=rank, default=None)
    if near is None or far is None:
        return near or far
    return far if pays(near, far) else near

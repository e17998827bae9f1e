"""Choose the endpoint for a request."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from shallotmux.world import Endpoint

#: Candidates compared for each request. Two samples avoid herding on a stale minimum.
SAMPLE_SIZE = 2


@dataclass(frozen=True, slots=True)
class EndpointView:
    """What an instance knows of an endpoint when it routes.

    :param reported_running: streams in the last load report.
    :param own_in_flight: requests that this instance has in progress there.
    """

    endpoint: Endpoint
    reported_running: int = 0
    own_in_flight: int = 0


@dataclass(frozen=True, slots=True)
class RoutingDecision:
    """The endpoint chosen, and the figures that the choice rested on."""

    endpoint: Endpoint
    reason: str
    sampled: tuple[tuple[str, int], ...]


def estimate_load(view: EndpointView) -> int:
    """Return the streams expected on an endpoint."""
    return max(view.reported_running, view.own_in_flight)


def route_request(views: Sequence[EndpointView], random: Random) -> RoutingDecision | None:
    """Choose the less loaded of a few sampled endpoints.

    :param views: endpoints that may take the request.
    :returns: the decision, or None when there is no candidate.
    """
    if not views:
        return None
    sampled = random.sample(list(views), min(SAMPLE_SIZE, len(views)))
    best = min(sampled, key=lambda view: (estimate_load(view), view.endpoint.name))
    figures = tuple((view.endpoint.name, estimate_load(view)) for view in sampled)
    return RoutingDecision(best.endpoint, 'least loaded of the sample', figures)

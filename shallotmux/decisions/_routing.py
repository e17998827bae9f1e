"""Choose the endpoint for a request, with a router or from views of the endpoints."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING

from shallotmux.world import Endpoint

if TYPE_CHECKING:
    from shallotmux.decisions._router import Router

#: Candidates compared for each request. Two random choices avoid herding on a stale minimum.
SAMPLE_SIZE = 2


@dataclass(frozen=True, slots=True)
class EndpointView:
    """Load of an endpoint as an instance knows it when it routes.

    :param reported_running: streams in the last load report.
    :param own_in_flight: requests that this instance has in progress there.
    """

    endpoint: Endpoint
    reported_running: int = 0
    own_in_flight: int = 0


@dataclass(frozen=True, slots=True)
class RoutingDecision:
    """The endpoint chosen, and the values that the choice is based on.

    :param sampled: endpoints compared, with their load or their score.
    :param wait_s: expected seconds of prefill work queued ahead of this request.
    :param uncached_tokens: prompt tokens that the endpoint is expected to process.
    """

    endpoint: Endpoint
    reason: str
    sampled: tuple[tuple[str, float], ...]
    wait_s: float = 0.0
    uncached_tokens: float = 0.0


@dataclass(frozen=True, slots=True)
class RequestFeatures:
    """Properties of a request that matter for routing.

    :param blocks: chained hashes of the full blocks of the prompt.
    :param repeatable: whether the request may run again after a failure.
    :param decode_only: whether the prompt's cache is transferred from another engine.
    :param excluded: endpoints already tried.
    """

    blocks: tuple[int, ...] = ()
    prompt_tokens: int = 0
    repeatable: bool = True
    decode_only: bool = False
    excluded: frozenset[str] = frozenset()


def estimate_load(view: EndpointView) -> int:
    """Return the number of streams expected on an endpoint."""
    return max(view.reported_running, view.own_in_flight)


def route_request(
    views: Sequence[EndpointView],
    random: Random,
    features: RequestFeatures | None = None,
    router: Router | None = None,
    now: float = 0.0,
) -> RoutingDecision | None:
    """Choose the endpoint for a request.

    With a router, the views are ignored. Without one, the least loaded of a few sampled views is
    chosen.

    :param views: endpoints that may take the request.
    :param now: time in seconds on the clock of the router's load reports.
    :returns: the decision, or None when there is no candidate.
    """
    if router is not None:
        return router.choose(features or RequestFeatures(), random, now)
    excluded = features.excluded if features else frozenset()
    allowed = [view for view in views if view.endpoint.name not in excluded]
    if not allowed:
        return None
    sampled = random.sample(allowed, min(SAMPLE_SIZE, len(allowed)))
    best = min(sampled, key=lambda view: (estimate_load(view), view.endpoint.name))
    figures = tuple((view.endpoint.name, estimate_load(view)) for view in sampled)
    return RoutingDecision(best.endpoint, 'least loaded of the sample', figures)

"""Routing by estimated load, prefix affinity, recent failures and engine roles."""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field, replace
from random import Random

from shallotmux.decisions._candidates import CandidateSet
from shallotmux.decisions._estimates import AverageLoad, EndpointState, LoadReport
from shallotmux.decisions._prefix import BLOCK_TOKENS, PrefixIndex
from shallotmux.decisions._routing import RequestFeatures, RoutingDecision
from shallotmux.world import Defaults, Endpoint, EngineRole

#: First and longest exclusion of an endpoint after consecutive failures, in seconds.
FIRST_EXCLUSION_S = 1.0
LONGEST_EXCLUSION_S = 30.0

#: Score bonus of cheap endpoints, in seconds, when spend is the only weighted objective.
CHEAP_BONUS_S = 0.2


@dataclass(frozen=True, slots=True)
class RoutingPolicy:
    """Parameters of the comparison of endpoints.

    :param sample_size: number of candidates drawn at random for each request.
    :param ring_owners: number of owners of the prompt's first block on the hash ring that become candidates.
    :param holders: maximum number of candidates that are taken because they have a part of the prefix cached.
    :param stream_cost_s: delay in seconds that a running stream causes to other requests.
    :param ring_owner_bonus_s: score bonus in seconds of the endpoints that own the first block on the ring.
    :param cheap_bonus_s: score bonus in seconds of cheap endpoints.
    :param affinity: whether cached prefixes are taken into account.
    """

    sample_size: int = 3
    ring_owners: int = 1
    holders: int = 4
    stream_cost_s: float = 0.004
    ring_owner_bonus_s: float = 0.4
    cheap_bonus_s: float = 0.0
    affinity: bool = True


def weighted_policy(policy: RoutingPolicy, defaults: Defaults) -> RoutingPolicy:
    """Return the policy with the bonus of cheap endpoints that the configured weights imply."""
    service = defaults.weight_goodput + defaults.weight_worst_customer
    share = defaults.weight_spend / max(service + defaults.weight_spend, 1e-9)
    return replace(policy, cheap_bonus_s=CHEAP_BONUS_S * share)


@dataclass(frozen=True, slots=True)
class ScoredEndpoint:
    """A candidate with its score and expected wait in seconds."""

    state: EndpointState
    score_s: float
    wait_s: float
    uncached_tokens: float


@dataclass(slots=True)
class Router:
    """Chooses among the endpoints of a pool by what one instance knows about them.

    The caller passes the time in; no clock is read. Updates and choices take constant time in the
    number of endpoints, except on the hash ring, where they take logarithmic time.

    :param candidate_sets: candidates by whether a request only decodes and is repeatable.
    :param failures: consecutive failures by endpoint.
    :param readmissions: heap of the times at which exclusions after failures end.
    :param failing_until: end of the exclusion of each endpoint that has failed.
    :param excluded: endpoints that the caller excluded; the end of an exclusion after failures
        does not readmit them.
    :param full: endpoints without free capacity, which keep their ring points and prefixes.
    """

    policy: RoutingPolicy = field(default_factory=RoutingPolicy)
    states: dict[str, EndpointState] = field(default_factory=dict)
    index: PrefixIndex = field(default_factory=PrefixIndex)
    average: AverageLoad = field(default_factory=AverageLoad)
    candidate_sets: dict[tuple[bool, bool], CandidateSet] = field(default_factory=dict)
    failures: dict[str, int] = field(default_factory=dict)
    readmissions: list[tuple[float, str]] = field(default_factory=list)
    failing_until: dict[str, float] = field(default_factory=dict)
    excluded: set[str] = field(default_factory=set)
    full: set[str] = field(default_factory=set)

    def add(self, endpoint: Endpoint, role: EngineRole = EngineRole.MIXED) -> None:
        """Add an endpoint, or update its role."""
        known = self.states.get(endpoint.name)
        if known is not None and known.role is role:
            return
        self._remove_candidate(endpoint.name)
        if known is None:
            self.states[endpoint.name] = EndpointState(endpoint, role)
        else:
            known.role = role
        self._add_unless_excluded(endpoint.name)

    def remove(self, name: str) -> None:
        """Remove an endpoint that left the pool."""
        self.exclude(name)
        self.states.pop(name, None)
        self.failures.pop(name, None)
        self.failing_until.pop(name, None)
        self.excluded.discard(name)
        self.full.discard(name)
        self.index.remove(name)

    def exclude(self, name: str) -> None:
        """Stop routing to an endpoint that leaves, is reclaimed or changes its role."""
        self.excluded.add(name)
        self._remove_candidate(name)
        self.index.mark_stale(name)

    def include(self, name: str) -> None:
        """Route requests to an endpoint again."""
        self.excluded.discard(name)
        self._add_unless_excluded(name)

    def pause(self, name: str) -> None:
        """Mark an endpoint as full, so that it is not chosen until it is resumed."""
        self.full.add(name)
        for candidates in self.candidate_sets.values():
            candidates.pause(name)

    def resume(self, name: str) -> None:
        """Make an endpoint eligible again that has free capacity."""
        if name in self.full:
            self.full.discard(name)
            for candidates in self.candidate_sets.values():
                candidates.resume(name)

    def record_failure(self, name: str, now: float) -> None:
        """Exclude an endpoint after a failure, with exponential backoff."""
        if name not in self.states:
            return
        count = self.failures.get(name, 0)
        self.failures[name] = count + 1
        pause = min(LONGEST_EXCLUSION_S, FIRST_EXCLUSION_S * 2 ** min(count, 8))
        self._remove_candidate(name)
        self.index.mark_stale(name)
        until = max(now + pause, self.failing_until.get(name, 0.0))
        self.failing_until[name] = until
        heapq.heappush(self.readmissions, (until, name))

    def report(self, name: str, report: LoadReport) -> None:
        """Update the load of an endpoint from its report."""
        state = self.states.get(name)
        if state is not None:
            state.apply_report(report, self.average)

    def record_dispatch(
        self, name: str, features: RequestFeatures, tokens: float, now: float
    ) -> None:
        """Record that this instance dispatched a request.

        :param tokens: prompt tokens that the endpoint is expected to process.
        """
        state = self.states.get(name)
        if state is not None:
            state.record_change(now, tokens, 1)
            if self.policy.affinity:
                self.index.add(name, features.blocks)

    def record_first_token(self, name: str, tokens: float, now: float) -> None:
        """Record the first token of a request of this instance."""
        state = self.states.get(name)
        if state is not None:
            state.record_change(now, -tokens, 0)
            self.failures.pop(name, None)

    def record_end(self, name: str, now: float) -> None:
        """Record the end of a request of this instance."""
        state = self.states.get(name)
        if state is not None:
            state.record_change(now, 0, -1)

    def choose(
        self, features: RequestFeatures, random: Random, now: float
    ) -> RoutingDecision | None:
        """Choose the endpoint with the highest score among a few candidates.

        :returns: the decision, or None when there is no candidate.
        """
        self._readmit(now)
        candidates = self._candidates_for(features)
        matches = self._matches(features)
        ring_owners = self._ring_owners(features, candidates)
        names = {
            *candidates.sample(self.policy.sample_size, random, features.excluded),
            *ring_owners,
        }
        names.update(self._holders(matches, candidates))
        names -= features.excluded
        if not names:
            return None
        scored = [
            self._score(
                name, features, matches.get(name, 0), now, is_ring_owner=name in ring_owners
            )
            for name in sorted(names)
        ]
        best = max(scored, key=lambda each: each.score_s)
        return _describe(best, scored)

    def has_candidates(self, features: RequestFeatures) -> bool:
        """Tell whether any endpoint may take a request now."""
        return bool(self._candidates_for(features).names)

    def _score(  # noqa: WPS211
        self,
        name: str,
        features: RequestFeatures,
        held_blocks: float,
        now: float,
        *,
        is_ring_owner: bool,
    ) -> ScoredEndpoint:
        state = self.states[name]
        load = state.estimate(now, self.average)
        cached = min(held_blocks * BLOCK_TOKENS, features.prompt_tokens)
        saved_s = cached / load.prefill_tokens_per_s
        queueing_s = load.wait_s + load.running * self.policy.stream_cost_s
        bonus = self.policy.ring_owner_bonus_s if is_ring_owner else 0
        if state.endpoint.cheap and load.fresh:
            # With stale reports, all instances would prefer the same endpoints and overload them.
            bonus += self.policy.cheap_bonus_s
        wait_s = 0 if features.decode_only else load.known_wait_s
        return ScoredEndpoint(
            state, saved_s + bonus - queueing_s, wait_s, features.prompt_tokens - cached
        )

    def _matches(self, features: RequestFeatures) -> dict[str, float]:
        if not self.policy.affinity or features.decode_only:
            return {}
        return self.index.matches(features.blocks)

    def _ring_owners(self, features: RequestFeatures, candidates: CandidateSet) -> Sequence[str]:
        if not features.blocks or not self.policy.affinity or features.decode_only:
            return ()
        return candidates.ring_owners(features.blocks[0], self.policy.ring_owners)

    def _holders(self, matches: dict[str, float], candidates: CandidateSet) -> Iterable[str]:
        present = [name for name in matches if name in candidates.positions]
        present.sort(key=lambda name: -matches[name])
        return present[: self.policy.holders]

    def _candidates_for(self, features: RequestFeatures) -> CandidateSet:
        key = (features.decode_only, features.repeatable)
        return self.candidate_sets.setdefault(key, CandidateSet())

    def _add_candidate(self, name: str) -> None:
        state = self.states[name]
        for decoding, role in ((False, EngineRole.DECODE), (True, EngineRole.PREFILL)):
            if state.role is not role:
                self.candidate_sets.setdefault((decoding, True), CandidateSet()).add(name)
                if not state.endpoint.cheap:
                    self.candidate_sets.setdefault((decoding, False), CandidateSet()).add(name)
        if name in self.full:
            self.pause(name)

    def _remove_candidate(self, name: str) -> None:
        for candidates in self.candidate_sets.values():
            candidates.remove(name)

    def _readmit(self, now: float) -> None:
        while self.readmissions and self.readmissions[0][0] <= now:
            name = heapq.heappop(self.readmissions)[1]
            # A later failure has a later entry of its own.
            if self.failing_until.get(name, now) <= now:
                self.failing_until.pop(name, None)
                self._add_unless_excluded(name)

    def _add_unless_excluded(self, name: str) -> None:
        """Make an endpoint a candidate unless it is gone, excluded or excluded after a failure."""
        if name in self.states and name not in self.excluded and name not in self.failing_until:
            self._add_candidate(name)


def _describe(best: ScoredEndpoint, scored: Sequence[ScoredEndpoint]) -> RoutingDecision:
    figures = tuple((each.state.endpoint.name, round(each.score_s, 4)) for each in scored)
    return RoutingDecision(
        best.state.endpoint,
        'best score of the candidates',
        figures,
        wait_s=best.wait_s,
        uncached_tokens=best.uncached_tokens,
    )

"""Routing with load estimates, prefix affinity, health and roles."""

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

#: Preference for cheap endpoints when only spend has weight, in seconds.
CHEAP_BONUS_S = 0.2


@dataclass(frozen=True, slots=True)
class RoutingPolicy:
    """Figures by which endpoints are compared.

    :param sample_size: endpoints drawn at random for each request.
    :param ring_owners: endpoints of the hash ring that are compared for a prompt with full blocks.
    :param holders: endpoints compared because they hold a part of the prefix.
    :param stream_cost_s: cost of a running stream, in seconds of delay to others.
    :param home_bonus_s: preference for the endpoint on which a prefix is expected to meet.
    :param cheap_bonus_s: preference for cheap endpoints among those that may take the request.
    :param affinity: whether prefixes are considered at all.
    """

    sample_size: int = 3
    ring_owners: int = 1
    holders: int = 4
    stream_cost_s: float = 0.004
    home_bonus_s: float = 0.4
    cheap_bonus_s: float = 0.0
    affinity: bool = True


def weighted_policy(policy: RoutingPolicy, defaults: Defaults) -> RoutingPolicy:
    """Return the policy with the preference for cheap endpoints that a firm's weights ask for."""
    service = defaults.weight_goodput + defaults.weight_worst_customer
    share = defaults.weight_spend / max(service + defaults.weight_spend, 1e-9)
    return replace(policy, cheap_bonus_s=CHEAP_BONUS_S * share)


@dataclass(frozen=True, slots=True)
class Scored:
    """An endpoint with the figures of its score, in seconds."""

    state: EndpointState
    score_s: float
    wait_s: float
    uncached_tokens: float


@dataclass(slots=True)
class Router:
    """Knowledge of one instance about the endpoints of a pool.

    The owner passes the time in; nothing here reads a clock. All updates and choices take time
    that does not grow with the number of endpoints, but for the ring (logarithmic).

    :param leaving: endpoints excluded by their owner; the end of a failure's pause does not bring
        them back.
    :param full: endpoints without room, which keep their place on the ring and their prefixes.
    """

    policy: RoutingPolicy = field(default_factory=RoutingPolicy)
    states: dict[str, EndpointState] = field(default_factory=dict)
    index: PrefixIndex = field(default_factory=PrefixIndex)
    average: AverageLoad = field(default_factory=AverageLoad)
    sets: dict[tuple[bool, bool], CandidateSet] = field(default_factory=dict)
    failures: dict[str, int] = field(default_factory=dict)
    returns: list[tuple[float, str]] = field(default_factory=list)
    leaving: set[str] = field(default_factory=set)
    full: set[str] = field(default_factory=set)

    def add(self, endpoint: Endpoint, role: EngineRole = EngineRole.MIXED) -> None:
        """Add an endpoint, or take its new role."""
        known = self.states.get(endpoint.name)
        if known is not None and known.role is role:
            return
        self._withdraw(endpoint.name)
        if known is None:
            self.states[endpoint.name] = EndpointState(endpoint, role)
        else:
            known.role = role
        if endpoint.name not in self.leaving:
            self._offer(endpoint.name)

    def remove(self, name: str) -> None:
        """Forget an endpoint that left the pool."""
        self.exclude(name)
        self.states.pop(name, None)
        self.failures.pop(name, None)
        self.leaving.discard(name)
        self.full.discard(name)
        self.index.remove(name)

    def exclude(self, name: str) -> None:
        """Give an endpoint no new work: it leaves, is reclaimed or changes its role."""
        self.leaving.add(name)
        self._withdraw(name)
        self.index.mark_stale(name)

    def include(self, name: str) -> None:
        """Give an endpoint new work again."""
        self.leaving.discard(name)
        if name in self.states:
            self._offer(name)

    def pause(self, name: str) -> None:
        """Choose an endpoint no more until it has room again."""
        self.full.add(name)
        for group in self.sets.values():
            group.pause(name)

    def resume(self, name: str) -> None:
        """Let an endpoint with room be chosen again."""
        if name in self.full:
            self.full.discard(name)
            for group in self.sets.values():
                group.resume(name)

    def record_failure(self, name: str, now: float) -> None:
        """Exclude an endpoint after a failure, longer after each in a row."""
        count = self.failures.get(name, 0)
        self.failures[name] = count + 1
        pause = min(LONGEST_EXCLUSION_S, FIRST_EXCLUSION_S * 2 ** min(count, 8))
        self._withdraw(name)
        self.index.mark_stale(name)
        heapq.heappush(self.returns, (now + pause, name))

    def report(self, name: str, report: LoadReport) -> None:
        """Take a load report."""
        state = self.states.get(name)
        if state is not None:
            state.take_report(report, self.average)

    def record_dispatch(
        self, name: str, features: RequestFeatures, tokens: float, now: float
    ) -> None:
        """Note an own dispatch.

        :param tokens: prompt tokens that the endpoint is expected to process.
        """
        state = self.states.get(name)
        if state is not None:
            state.note(now, tokens, 1)
            if self.policy.affinity:
                self.index.add(name, features.blocks)

    def record_first_token(self, name: str, tokens: float, now: float) -> None:
        """Note the first token of an own request."""
        state = self.states.get(name)
        if state is not None:
            state.note(now, -tokens, 0)
            self.failures.pop(name, None)

    def record_end(self, name: str, now: float) -> None:
        """Note the end of an own request."""
        state = self.states.get(name)
        if state is not None:
            state.note(now, 0, -1)

    def choose(
        self, features: RequestFeatures, random: Random, now: float
    ) -> RoutingDecision | None:
        """Choose the endpoint with the best score among a few candidates.

        :returns: the decision, or None when there is no candidate.
        """
        self._readmit(now)
        group = self._group(features)
        matches = self._matches(features)
        ring_owners = self._homes(features, group)
        names = {*group.sample(self.policy.sample_size, random, features.excluded), *ring_owners}
        names.update(self._holders(matches, group))
        names -= features.excluded
        if not names:
            return None
        scored = [
            self._score(name, features, matches.get(name, 0), now, home=name in ring_owners)
            for name in sorted(names)
        ]
        best = max(scored, key=lambda each: each.score_s)
        return _describe(best, scored)

    def has_candidates(self, features: RequestFeatures) -> bool:
        """Tell whether any endpoint may take a request at present."""
        return bool(self._group(features).names)

    def _score(  # noqa: WPS211
        self, name: str, features: RequestFeatures, held: float, now: float, *, home: bool
    ) -> Scored:
        state = self.states[name]
        load = state.estimate(now, self.average)
        cached = min(held * BLOCK_TOKENS, features.prompt_tokens)
        saved_s = cached / load.prefill_tokens_per_s
        queueing_s = load.wait_s + load.running * self.policy.stream_cost_s
        bonus = self.policy.home_bonus_s if home else 0
        if state.endpoint.cheap and load.fresh:
            # Under old reports, all instances would prefer the same endpoints and overload them.
            bonus += self.policy.cheap_bonus_s
        wait_s = 0 if features.decode_only else load.known_wait_s
        return Scored(state, saved_s + bonus - queueing_s, wait_s, features.prompt_tokens - cached)

    def _matches(self, features: RequestFeatures) -> dict[str, float]:
        if not self.policy.affinity or features.decode_only:
            return {}
        return self.index.matches(features.blocks)

    def _homes(self, features: RequestFeatures, group: CandidateSet) -> Sequence[str]:
        if not features.blocks or not self.policy.affinity or features.decode_only:
            return ()
        return group.ring_owners(features.blocks[0], self.policy.ring_owners)

    def _holders(self, matches: dict[str, float], group: CandidateSet) -> Iterable[str]:
        present = [name for name in matches if name in group.places]
        present.sort(key=lambda name: -matches[name])
        return present[: self.policy.holders]

    def _group(self, features: RequestFeatures) -> CandidateSet:
        place = (features.decode_only, features.repeatable)
        return self.sets.setdefault(place, CandidateSet())

    def _offer(self, name: str) -> None:
        state = self.states[name]
        for decoding, role in ((False, EngineRole.DECODE), (True, EngineRole.PREFILL)):
            if state.role is not role:
                self.sets.setdefault((decoding, True), CandidateSet()).add(name)
                if not state.endpoint.cheap:
                    self.sets.setdefault((decoding, False), CandidateSet()).add(name)
        if name in self.full:
            self.pause(name)

    def _withdraw(self, name: str) -> None:
        for group in self.sets.values():
            group.remove(name)

    def _readmit(self, now: float) -> None:
        while self.returns and self.returns[0][0] <= now:
            name = heapq.heappop(self.returns)[1]
            if name in self.states and name not in self.leaving:
                self._offer(name)


def _describe(best: Scored, scored: Sequence[Scored]) -> RoutingDecision:
    figures = tuple((each.state.endpoint.name, round(each.score_s, 4)) for each in scored)
    return RoutingDecision(
        best.state.endpoint,
        'best score of the candidates',
        figures,
        wait_s=best.wait_s,
        uncached_tokens=best.uncached_tokens,
    )

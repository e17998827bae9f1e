"""From which engine another one fetches the parts of a prompt that it does not hold itself."""

from __future__ import annotations

from collections.abc import Sequence

from shallotmux.placement._prompt import Prompt
from shallotmux.placement._views import EngineView, FetchSource

#: Tokens from which fetching pays. Fewer are read in the time in which a transfer is set up.
LEAST_FETCHED_TOKENS = 512

#: Time for which a transfer is set up, in ms; stated by the engines' description.
SETUP_MS = 3.0

#: Factor on the time of a transfer between availability zones.
OTHER_ZONE_FACTOR = 2.0


def find_source(
    prompt: Prompt,
    engine: EngineView,
    engines: Sequence[EngineView],
    homes: Sequence[EngineView],
    tokens_per_ms: float,
) -> FetchSource | None:
    """Return the engine from which another one best fetches a prompt, or None if that is no gain.

    :param engine: engine that reads the rest of the prompt.
    :param engines: all engines that may be asked, with what they are known to hold.
    :param homes: engines that read prompts by preference for this one. The first one is expected to
        hold the shared parts; the second one is the home of before when the first one is new.
    :param tokens_per_ms: speed of transfers within a zone.
    """
    own = prompt.cached_tokens(engine.held)
    held = {
        each.identity: prompt.cached_tokens(each.held)
        for each in engines
        if each.identity != engine.identity
    }
    best = max(held, key=held.__getitem__, default='')
    if held.get(best, 0) < prompt.shared_tokens:
        expected = [each.identity for each in homes if each.identity != engine.identity]
        best = expected[0] if expected else ''
        held[best] = prompt.shared_tokens if expected else 0
    gained = held.get(best, 0) - own
    if gained < LEAST_FETCHED_TOKENS:
        return None
    zone = next(each.zone for each in engines if each.identity == best)
    factor = 1.0 if zone == engine.zone else OTHER_ZONE_FACTOR
    return FetchSource(best, held[best], SETUP_MS + factor * gained / tokens_per_ms)

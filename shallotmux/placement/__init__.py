"""Pure functions that choose engines for prompts."""

from __future__ import annotations

from shallotmux.placement._choice import (
    MIN_AFFINITY_TOKENS,
    choose_decode_engine,
    direct_prefill_limit,
    place_request,
)
from shallotmux.placement._prompt import Prompt, PromptPart, build_prompt
from shallotmux.placement._speeds import (
    INITIAL_TOKENS_PER_MS,
    PrefillMeasurement,
    PrefillSpeeds,
)
from shallotmux.placement._views import EngineView, PhaseTime, Placement, PlacementRequest
from shallotmux.rendezvous import rank_owners

__all__ = (
    'INITIAL_TOKENS_PER_MS',
    'MIN_AFFINITY_TOKENS',
    'EngineView',
    'PhaseTime',
    'Placement',
    'PlacementRequest',
    'PrefillMeasurement',
    'PrefillSpeeds',
    'Prompt',
    'PromptPart',
    'build_prompt',
    'choose_decode_engine',
    'direct_prefill_limit',
    'place_request',
    'rank_owners',
)

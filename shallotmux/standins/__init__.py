"""Stand-ins for the outside systems that shallotmux talks to."""

from __future__ import annotations

from shallotmux.standins._cost_model import (
    BLOCK_TOKENS,
    BlockCache,
    CacheChange,
    EngineCosts,
    EngineJob,
    EngineLoad,
    EngineModel,
    JobListener,
)
from shallotmux.standins._engine import EngineBehaviour, EngineStandin, Received
from shallotmux.standins._network import MemoryClient, MemoryNetwork
from shallotmux.standins._tokens import encode_event, prompt_key, token_text

__all__ = (
    'BLOCK_TOKENS',
    'BlockCache',
    'CacheChange',
    'EngineCosts',
    'EngineJob',
    'EngineLoad',
    'EngineModel',
    'JobListener',
    'EngineBehaviour',
    'EngineStandin',
    'MemoryClient',
    'MemoryNetwork',
    'Received',
    'encode_event',
    'prompt_key',
    'token_text',
)

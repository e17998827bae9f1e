"""Clients and pollers of engines, and the client of plain services."""

from __future__ import annotations

from shallotmux.engines._cache import CachePoller
from shallotmux.engines._client import CacheEvent, CachePage, EngineClient, EngineRun, LoadReport
from shallotmux.engines._load import LoadPoller, LoadTable, ReceivedLoadReport
from shallotmux.engines._prompts import BLOCK_BYTES, BYTES_PER_TOKEN, hash_parts, hash_prompt
from shallotmux.engines._service import (
    CALL_HEADER,
    ServiceCall,
    ServiceClient,
    ServiceResult,
)

__all__ = (
    'BLOCK_BYTES',
    'BYTES_PER_TOKEN',
    'CALL_HEADER',
    'CacheEvent',
    'CachePage',
    'CachePoller',
    'EngineClient',
    'EngineRun',
    'ReceivedLoadReport',
    'LoadPoller',
    'LoadReport',
    'LoadTable',
    'ServiceCall',
    'ServiceClient',
    'ServiceResult',
    'hash_parts',
    'hash_prompt',
)

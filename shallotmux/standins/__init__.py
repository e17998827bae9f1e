"""Stand-ins for the external systems that shallotmux talks to."""

from __future__ import annotations

from shallotmux.standins._authority import (
    SharedAuthority,
    SharedGroup,
)
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
from shallotmux.standins._engine import (
    EngineBehaviour,
    EngineFault,
    EngineRunRecord,
    EngineStandin,
    RecordedRequest,
)
from shallotmux.standins._network import (
    MemoryClient,
    MemoryNetwork,
)
from shallotmux.standins._orders import (
    OrderReceiver,
    ReceivedOrder,
)
from shallotmux.standins._platform import (
    PlatformBehaviour,
    PlatformOrder,
    PlatformStandin,
    ReceivedReport,
)
from shallotmux.standins._service import (
    ServiceBehaviour,
    ServiceFault,
    ServiceStandin,
)
from shallotmux.standins._tokens import (
    encode_event,
    prompt_key,
    token_text,
)

__all__ = (
    'BLOCK_TOKENS',
    'BlockCache',
    'CacheChange',
    'EngineBehaviour',
    'EngineCosts',
    'EngineFault',
    'EngineJob',
    'EngineLoad',
    'EngineModel',
    'EngineRunRecord',
    'EngineStandin',
    'JobListener',
    'MemoryClient',
    'MemoryNetwork',
    'OrderReceiver',
    'PlatformBehaviour',
    'PlatformOrder',
    'PlatformStandin',
    'ReceivedOrder',
    'ReceivedReport',
    'RecordedRequest',
    'ServiceBehaviour',
    'ServiceFault',
    'ServiceStandin',
    'SharedAuthority',
    'SharedGroup',
    'encode_event',
    'prompt_key',
    'token_text',
)

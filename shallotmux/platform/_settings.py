"""Load the platform's settings file."""

from __future__ import annotations

import os
from collections.abc import Mapping
from pathlib import Path
from typing import Annotated

import msgspec

from shallotmux.addresses import split_address
from shallotmux.decoding import DECODE_ERRORS
from shallotmux.errors import SettingsError
from shallotmux.forwarding import RetryBudgetLimits
from shallotmux.membounds import ProcessLimits
from shallotmux.overflow import DEFAULT_PRICE
from shallotmux.programs import ListenAddresses, ProgramRole, ProgramSettings, ProgramTimes
from shallotmux.quotas import QuotaTerms

#: Environment variable with the path of the settings file.
PATH_VARIABLE = 'SHALLOTMUX_SETTINGS'

#: Port of the metrics; must match ``deploy/system.toml``.
METRICS_PORT = 9464

#: Fraction of the platform's rate limit that polling its list may use.
LISTING_RATE_FRACTION = 0.4

#: Minimum and maximum interval at which one instance polls the list.
LISTING_INTERVAL_LIMITS_S = (0.7, 2.0)

#: Maximum number of control instances in a deployment, which share the rate limit.
MAX_CONTROL_INSTANCES = 8


#: Lengths of windows that are not set, or set to 0, as they may be where nothing depends on them.
DEFAULT_BUDGET_WINDOW_S = 10.0
DEFAULT_REPORT_WINDOW_S = 5.0
DEFAULT_QUOTA_WINDOW_S = 8.0

#: Ranges of the numbers. None is near its end in any deployment; beyond, a calculation would overflow or
#: divide by zero.
_Seconds = Annotated[float, msgspec.Meta(ge=0, le=86_400)]
_Milliseconds = Annotated[float, msgspec.Meta(ge=0, le=86_400_000)]
_Number = Annotated[float, msgspec.Meta(ge=0, le=1e9)]
_Count = Annotated[int, msgspec.Meta(ge=0, le=1000)]

#: Port of messages between instances. The next one is that of relayed requests.
_PeerPort = Annotated[int, msgspec.Meta(ge=1, le=65_534)]


class _Listen(msgspec.Struct, rename='kebab'):
    front: str = ''
    ready: str = ''
    control: str = ''


class _Tolerate(msgspec.Struct, rename='kebab'):
    machines: _Count = 1


class _Bounds(msgspec.Struct, rename='kebab'):
    grace_s: _Seconds = 8.0
    retry_budget_ratio: _Number = 0.2
    budget_window_s: _Seconds = DEFAULT_BUDGET_WINDOW_S
    # Number of retries allowed beyond the ratio, not a duration.
    retry_slack: _Number = 50.0
    report_window_s: _Seconds = DEFAULT_REPORT_WINDOW_S
    # Not the length of our lease: holders must not take turns within this time.
    lease_ms: _Milliseconds = 3000.0
    # Time for which a machine counts as lost after it is back; a successor of a lost one has it, too.
    catch_up_s: _Seconds = 6.0
    quota_window_s: _Seconds = DEFAULT_QUOTA_WINDOW_S
    quota_overage: _Number = 0.1
    # Tokens that a customer's use may exceed its quota by, beside the overage.
    quota_slack: _Number = 0.0


class _Limits(msgspec.Struct, rename='kebab'):
    # 0 stands for a limit that is not set.
    memory_mb: _Number = 0
    max_fds: _Number = 0


class _Cloud(msgspec.Struct, rename='kebab'):
    address: str = ''
    rate_per_s: _Number = 20.0
    duties: list[str] = []


class PlatformFile(msgspec.Struct, rename='kebab'):
    """Fields of the settings file that are used; others are ignored."""

    node_name: str
    ip: str
    zone: str
    serves: list[str]
    listen: _Listen
    port_range: tuple[_PeerPort, int]
    seeds: list[str]
    cloud: _Cloud
    bootstrap: bool = False
    data_dir: str | None = None
    tolerate: _Tolerate = msgspec.field(default_factory=_Tolerate)
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    limits: _Limits = msgspec.field(default_factory=_Limits)
    zone_traffic_ms_per_kb: _Number = DEFAULT_PRICE

    def __post_init__(self) -> None:
        """Check the addresses.

        :raises ValueError: naming one that is not of the form HOST:PORT.
        """
        listen = self.listen
        named = (listen.front, listen.ready, listen.control, self.cloud.address)
        for address in (*self.seeds, *(each for each in named if each)):
            split_address(address)


def read_settings_file(environment: Mapping[str, str] = os.environ) -> PlatformFile:
    """Load the settings file that the environment variable names.

    :raises SettingsError: naming the file and the invalid field.
    """
    path = Path(environment.get(PATH_VARIABLE, ''))
    try:
        return msgspec.json.decode(path.read_bytes(), type=PlatformFile)
    except OSError as error:
        raise SettingsError(f'{path}: {error.strerror}', step='settings') from error
    except DECODE_ERRORS as error:
        raise SettingsError(f'{path}: {error}', step='settings') from error


def build_settings(file: PlatformFile) -> ProgramSettings:
    """Convert the platform's settings file to program settings."""
    is_control = 'control' in file.serves
    peer_port = file.port_range[0]
    bounds = file.bounds
    return ProgramSettings(
        ProgramRole.CONTROL if is_control else ProgramRole.ENTRY,
        file.node_name,
        file.zone,
        ListenAddresses(
            f'{file.ip}:{peer_port}',
            file.listen.front,
            file.listen.ready,
            file.listen.control,
            f'{file.ip}:{METRICS_PORT}',
            f'{file.ip}:{peer_port + 1}',
        ),
        tuple(f'{split_address(seed).host}:{peer_port}' for seed in file.seeds),
        file.bootstrap,
        None if file.data_dir is None else Path(file.data_dir),
        file.tolerate.machines,
        RetryBudgetLimits(
            bounds.retry_budget_ratio,
            bounds.retry_slack,
            bounds.budget_window_s or DEFAULT_BUDGET_WINDOW_S,
        ),
        ProgramTimes(
            bounds.grace_s,
            _listing_interval(file.cloud),
            bounds.report_window_s or DEFAULT_REPORT_WINDOW_S,
            bounds.lease_ms / 1000,
            bounds.catch_up_s,
        ),
        'usage_report' in file.cloud.duties,
        'autoscale' in file.cloud.duties,
        QuotaTerms(
            bounds.quota_window_s or DEFAULT_QUOTA_WINDOW_S,
            bounds.quota_overage,
            bounds.quota_slack,
        ),
        _build_limits(file.limits),
        file.zone_traffic_ms_per_kb,
    )


def _build_limits(limits: _Limits) -> ProcessLimits:
    default = ProcessLimits()
    return ProcessLimits(
        int(limits.memory_mb * 1_000_000) or default.memory_bytes,
        int(limits.max_fds) or default.descriptors,
    )


def _listing_interval(cloud: _Cloud) -> float:
    shortest, longest = LISTING_INTERVAL_LIMITS_S
    interval_s = MAX_CONTROL_INSTANCES / max(0.1, LISTING_RATE_FRACTION * cloud.rate_per_s)
    return min(max(shortest, interval_s), longest)

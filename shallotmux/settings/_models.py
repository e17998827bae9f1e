"""Validated models of the settings file."""

from __future__ import annotations

from pydantic import BaseModel, ConfigDict, Field, model_validator

from shallotmux.settings._fleet import (
    GroupSettings,
    PeerSettings,
    PeerTlsSettings,
    check_fleet,
)


class _Strict(BaseModel):
    """Rejects unknown keys, since a misspelt key would silently have no effect."""

    model_config = ConfigDict(extra='forbid', frozen=True)


class InstanceSettings(_Strict):
    """This instance and where it stands."""

    name: str = Field(min_length=1, max_length=64, pattern=r'^[a-z0-9][a-z0-9-]*$')
    zone: str = Field(min_length=1, max_length=64)
    data_folder: str = ''


class ListenerSettings(_Strict):
    """Addresses that the daemon listens on; port 0 lets the system choose."""

    callers: str = '127.0.0.1:8080'
    operators: str = '127.0.0.1:8081'


class SecretSettings(_Strict):
    """Secrets of the fleet."""

    pepper: str = Field(min_length=16)
    operator_token: str = Field(min_length=16)


class Settings(_Strict):
    """The whole settings file."""

    instance: InstanceSettings
    listeners: ListenerSettings = ListenerSettings()
    secrets: SecretSettings
    peers: tuple[PeerSettings, ...] = ()
    peer_tls: PeerTlsSettings | None = None
    groups: GroupSettings = GroupSettings()

    @model_validator(mode='after')
    def check_fleet(self) -> Settings:
        """Check that the instances of the fleet and this one agree."""
        check_fleet(self.instance.name, self.instance.zone, self.peers, self.groups, self.peer_tls)
        return self

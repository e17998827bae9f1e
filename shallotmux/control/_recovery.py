"""Recovery of the control group from the data folders that are left."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from contextlib import ExitStack
from dataclasses import dataclass
from pathlib import Path
from random import Random, SystemRandom

from shallotmux.errors import MembershipRefused, StorageError
from shallotmux.replication import (
    DiskSurvey,
    Effects,
    StoredGroup,
    recover_group,
    survey_disks,
)
from shallotmux.storage import GroupStore, load_identity, store_identity
from shallotmux.transport import instance_name, new_identity


@dataclass(frozen=True, slots=True)
class DataFolder:
    """Data folder of a control instance that does not run.

    :param identity: identity of the member that owns it.
    """

    path: Path
    identity: str
    store: GroupStore
    stored: StoredGroup


class DataFolders:
    """Data folders that are left of a control group, locked until they are closed.

    :param paths: folders of instances that do not run.
    :raises StorageError: if an instance uses a folder, or one holds no group or is damaged.
    """

    def __init__(self, paths: Iterable[Path], random: Random | None = None) -> None:
        self._random = random or SystemRandom()
        self._opened = ExitStack()
        self._folders: dict[str, DataFolder] = {}
        with ExitStack() as on_failure:
            on_failure.callback(self.close)
            for each in paths:
                self._open(each)
            on_failure.pop_all()

    @property
    def folders(self) -> Mapping[str, DataFolder]:
        """Return the folders by the identity of their member."""
        return self._folders

    def survey(self) -> DiskSurvey:
        """Return what the folders hold.

        :raises MembershipRefused: if there is no folder.
        """
        return survey_disks(self._stored())

    def recover(self, *, address: str = '', accepts_loss: bool = False) -> str:
        """Make the member with the newest log the only voter, and return its identity.

        The other members get new identities, so that they never vote with the old configuration. The
        only voter is stored first, so that a recovery without another address can be repeated after
        a failure.

        :param address: peer address at which the only voter will run, if it is another one.
        :param accepts_loss: whether to go on although acknowledged changes may be lost.
        :raises MembershipRefused: if acknowledged changes may be lost, or the members continue the
            group by themselves.
        :raises StorageError: if a folder cannot be written.
        """
        if self.survey().has_majority and not (address or accepts_loss):
            raise MembershipRefused(
                'these members are a majority: the group continues when they run', step='recover'
            )
        identity = new_identity(address, self._random) if address else ''
        newest, recovered = recover_group(
            self._stored(), identity=identity, accepts_loss=accepts_loss
        )
        chosen = self._folders[newest]
        chosen.store.save(Effects(recovered.hard_state, recovered.entries[-1:]))
        if identity:
            store_identity(chosen.path, identity)
        for each in self._folders.values():
            if each is not chosen:
                name = instance_name(each.identity)
                store_identity(each.path, new_identity(name, self._random))
        return identity or newest

    def close(self) -> None:
        """Unlock the folders."""
        self._opened.close()

    def _stored(self) -> dict[str, StoredGroup]:
        return {identity: each.stored for identity, each in self._folders.items()}

    def _open(self, path: Path) -> None:
        identity = load_identity(path)
        if identity is None:
            raise StorageError(f'{path}: holds no control instance', step='recover')
        if identity in self._folders:
            raise StorageError(f'{path}: has the identity of another folder', step='recover')
        store = GroupStore(path)
        self._opened.callback(store.close)
        stored = store.load()
        if stored is None:
            raise StorageError(f'{path}: holds no group', step='recover')
        self._folders[identity] = DataFolder(path, identity, store, stored)

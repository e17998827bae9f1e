"""Durable state of a replica: append-only log, snapshot, backup and identity."""

from __future__ import annotations

from shallotmux.storage._backup import export_backup, import_backup
from shallotmux.storage._filesystem import AppendFile, FileSystem, LocalFileSystem
from shallotmux.storage._identity import load_identity, store_identity
from shallotmux.storage._refusals import is_refusal
from shallotmux.storage._store import GroupStore, Store, VolatileStore

__all__ = (
    'AppendFile',
    'FileSystem',
    'GroupStore',
    'LocalFileSystem',
    'Store',
    'VolatileStore',
    'export_backup',
    'import_backup',
    'is_refusal',
    'load_identity',
    'store_identity',
)

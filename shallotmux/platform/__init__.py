"""Adapter to the platform: its header names, formats and API calls; it makes no decisions."""

from __future__ import annotations

from shallotmux.platform._configuration import decode_document
from shallotmux.platform._dialect import DIALECT
from shallotmux.platform._duties import PlatformClient
from shallotmux.platform._names import GET_PATH, HEADERS, PUT_PATH
from shallotmux.platform._settings import build_settings, read_settings_file

__all__ = (
    'DIALECT',
    'GET_PATH',
    'HEADERS',
    'PUT_PATH',
    'PlatformClient',
    'build_settings',
    'decode_document',
    'read_settings_file',
)

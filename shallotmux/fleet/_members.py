"""Items of the states that control instances publish: endpoints of the list, and members of the fleet."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

import msgspec

from shallotmux.addresses import is_address
from shallotmux.decoding import guard_decoder
from shallotmux.fleet._listing import ListedEndpoint, Listing

#: Prefixes of the keys of entry and control instances.
ENTRY_PREFIX = 'entry '
CONTROL_PREFIX = 'control '

#: Decodes an endpoint; raises :class:`msgspec.DecodeError` if it is not valid.
decode_endpoint = guard_decoder(msgspec.msgpack.Decoder(ListedEndpoint).decode)

#: Decodes a zone; raises :class:`msgspec.DecodeError` if it is not valid.
decode_zone = guard_decoder(bytes.decode)


@dataclass(frozen=True, slots=True)
class FleetMembers:
    """Zones of the live entry instances and of the control instances, by name; empty if unknown."""

    entries: Mapping[str, str] = field(default_factory=dict)
    controls: Mapping[str, str] = field(default_factory=dict)


def encode_endpoints(listing: Listing) -> dict[str, bytes]:
    """Return the items of a list of endpoints, by identity."""
    return {each.identity: msgspec.msgpack.encode(each) for each in listing.endpoints}


def build_listing(items: Mapping[str, ListedEndpoint]) -> Listing:
    """Return the list of endpoints from items, in the order of their keys."""
    return Listing(tuple(items[key] for key in sorted(items)))


def encode_members(members: FleetMembers) -> dict[str, bytes]:
    """Return the items of the members."""
    items = {f'{ENTRY_PREFIX}{name}': zone.encode() for name, zone in members.entries.items()}
    for name, zone in members.controls.items():
        items[f'{CONTROL_PREFIX}{name}'] = zone.encode()
    return items


def build_members(items: Mapping[str, str]) -> FleetMembers:
    """Return the members from items; names that are no addresses are left out.

    Names come from whoever polls a control instance.
    """
    entries: dict[str, str] = {}
    controls: dict[str, str] = {}
    for key in sorted(items):
        if key.startswith(ENTRY_PREFIX):
            name = key.removeprefix(ENTRY_PREFIX)
            if is_address(name):
                entries[name] = items[key]
        elif key.startswith(CONTROL_PREFIX):
            controls[key.removeprefix(CONTROL_PREFIX)] = items[key]
    return FleetMembers(entries, controls)

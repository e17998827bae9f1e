"""Tests of the example deployments."""

from __future__ import annotations

from functools import partial
from pathlib import Path

import pytest
import trio
from click.testing import CliRunner

from shallotmux.cli import main
from shallotmux.daemon import DaemonInstance
from shallotmux.settings import GroupSettings, InstanceSettings, ListenerSettings, load_settings

FOLDER = Path(__file__).parents[2] / 'examples'
ZONES = {
    'button-division': ('aalborg', 'randers', 'horsens', 'vejle'),
    'kockica': ('varazdin', 'cakovec', 'koprivnica'),
}
ENDPOINTS = {'button-division': (6, 4), 'kockica': (6, 3)}
LOOPBACK = '127.0.0.1:0'


def apply_file(address: str, token: str, path: Path) -> str:
    """Apply a configuration file with the command-line tool, and return its output."""
    arguments = ('--address', address, '--token', token, 'apply', str(path))
    result = CliRunner().invoke(main, arguments)
    assert result.exit_code == 0, result.output
    return result.output


@pytest.mark.parametrize('kind', ['entry', 'entry-with-disk'])
@pytest.mark.parametrize('deployment', list(ZONES))
def test_settings_file_loads(deployment: str, kind: str) -> None:
    """Guards against an example with a setting that no longer exists."""
    settings = load_settings(FOLDER / deployment / f'{kind}.json')
    assert settings.instance.zone in ZONES[deployment]
    assert bool(settings.instance.data_folder) is (kind == 'entry-with-disk')
    assert {each.zone for each in settings.peers} == set(ZONES[deployment])


@pytest.mark.parametrize('deployment', list(ZONES))
async def test_configuration_applies_in_every_zone(deployment: str, nursery: trio.Nursery) -> None:
    """Guards against an example that an instance rejects, or that lacks endpoints."""
    loaded = load_settings(FOLDER / deployment / 'entry.json')
    counts = {'engine': 0, 'service': 0}
    for zone in ZONES[deployment]:
        settings = loaded.model_copy(
            update={
                'instance': InstanceSettings(name='entry-1', zone=zone),
                'listeners': ListenerSettings(callers=LOOPBACK, operators=LOOPBACK),
                'peers': (),
                'groups': GroupSettings(standalone=True),
            }
        )
        daemon = DaemonInstance(settings)
        addresses = await nursery.start(daemon.run)
        apply = partial(
            apply_file,
            addresses.operators,
            loaded.secrets.operator_token,
            FOLDER / deployment / 'configuration.json',
        )
        assert '14 differences, 14 changes made' in await trio.to_thread.run_sync(apply)
        assert '0 differences' in await trio.to_thread.run_sync(apply)
        state = daemon.authority.read()
        for route in state.routes():
            pool = state.pool(route.pool)
            assert pool is not None
            for endpoint in pool.endpoints:
                counts[endpoint.kind] += 1
    assert tuple(counts.values()) == ENDPOINTS[deployment]

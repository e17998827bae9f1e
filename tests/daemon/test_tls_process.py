"""Tests of TLS between a daemon process and the operators' command-line tool."""

from __future__ import annotations

import json
import signal
from functools import partial
from pathlib import Path

import trio
import trustme
from click.testing import CliRunner, Result

from shallotmux.cli import main
from tests.support.processes import start_process

OPERATOR_TOKEN = 'operator-token-1'
LOOPBACK = '127.0.0.1:0'


def issue(authority: trustme.CA, folder: Path) -> None:
    """Write a certificate for 127.0.0.1."""
    issued = authority.issue_cert('127.0.0.1')
    issued.private_key_pem.write_to_path(str(folder / 'key.pem'))
    (folder / 'chain.pem').write_bytes(b''.join(each.bytes() for each in issued.cert_chain_pems))


async def run_tool(address: str, *arguments: str) -> Result:
    """Run the command-line tool in a thread."""
    options = ('--address', address, '--token', OPERATOR_TOKEN, *arguments)
    return await trio.to_thread.run_sync(partial(CliRunner().invoke, main, options))


async def test_sighup_reloads_certificate(tmp_path: Path) -> None:
    """Guards against a renewed certificate that needs a restart, and a tool without TLS."""
    first, second = trustme.CA(), trustme.CA()
    for name, authority in (('first.pem', first), ('second.pem', second)):
        authority.cert_pem.write_to_path(str(tmp_path / name))
    issue(first, tmp_path)
    settings = {
        'instance': {'name': 'entry-1', 'zone': 'zone-a'},
        'listeners': {'callers': LOOPBACK, 'operators': LOOPBACK},
        'tls': {'operators': {'certificate': 'chain.pem', 'private_key': 'key.pem'}},
        'secrets': {'pepper': 'p' * 16, 'operator_token': OPERATOR_TOKEN},
        'groups': {'standalone': True},
        'timeouts': {'certificate_check_s': 3600},
    }
    path = tmp_path / 'settings.json'
    path.write_text(json.dumps(settings))
    with start_process('shallotmux.daemon', '--settings', str(path)) as daemon:
        address = (await daemon.message('shallotmux:daemon:started'))['operators']
        trusted = str(tmp_path / 'first.pem')
        assert (await run_tool(address, '--ca', trusted, 'status')).exit_code == 0
        assert (await run_tool(address, 'status')).exit_code != 0
        issue(second, tmp_path)
        daemon.signal(signal.SIGHUP)
        assert (await daemon.message('shallotmux:tls:reload'))['problem'] == ''
        assert (await run_tool(address, '--ca', trusted, 'status')).exit_code == 7
        renewed = str(tmp_path / 'second.pem')
        assert (await run_tool(address, '--ca', renewed, 'status')).exit_code == 0

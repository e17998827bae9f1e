"""Tests of TLS and of certificates that are replaced while they are in use."""

from __future__ import annotations

import ssl
from dataclasses import dataclass
from pathlib import Path

import pytest
import trio
import trustme
from trio.testing import MockClock

from shallotmux.errors import SettingsError
from shallotmux.http import Certificate, Listener, Receive, Scope, Send, send_json, serve_app


@dataclass
class Files:
    """Certificate files and the certificate authority that issues them."""

    authority: trustme.CA
    chain: Path
    private_key: Path

    def issue(self, name: str) -> None:
        """Write a certificate for 127.0.0.1 with the given common name."""
        issued = self.authority.issue_cert('127.0.0.1', common_name=name)
        self.chain.write_bytes(b''.join(blob.bytes() for blob in issued.cert_chain_pems))
        issued.private_key_pem.write_to_path(str(self.private_key))

    def certificate(self) -> Certificate:
        """Return the certificate of the files."""
        return Certificate(str(self.chain), str(self.private_key))


@pytest.fixture
def files(tmp_path: Path) -> Files:
    """Return files with a first certificate."""
    created = Files(trustme.CA(), tmp_path / 'chain.pem', tmp_path / 'key.pem')
    created.issue('first')
    return created


async def respond(scope: Scope, receive: Receive, send: Send) -> None:
    """Respond to every request with an empty JSON object."""
    await send_json(send, 200, {})


async def served_name(address: str, files: Files) -> str:
    """Return the common name of the certificate that a listener presents."""
    trusted = ssl.create_default_context()
    files.authority.configure_trust(trusted)
    host, _, port = address.rpartition(':')
    stream = await trio.open_ssl_over_tcp_stream(
        host, int(port), ssl_context=trusted, https_compatible=True
    )
    async with stream:
        await stream.do_handshake()
        subject = stream.getpeercert()['subject']
    return str(dict(pair for part in subject for pair in part)['commonName'])


async def test_new_certificate_is_served_without_restart(
    files: Files, nursery: trio.Nursery
) -> None:
    """Guards against requiring a restart for a new certificate, and against using an invalid one."""
    certificate = files.certificate()
    address = await nursery.start(
        serve_app, respond, Listener('127.0.0.1:0', certificate), trio.sleep_forever
    )
    assert await served_name(address, files) == 'first'
    files.issue('second')
    certificate.reload()
    assert await served_name(address, files) == 'second'
    files.private_key.write_text('broken')
    with pytest.raises(SettingsError, match='key.pem'):
        certificate.reload()
    assert await served_name(address, files) == 'second'


async def test_watch_reloads_when_files_change(files: Files, autojump_clock: MockClock) -> None:
    """Guards against a change of the files that is missed or reported twice."""
    certificate = files.certificate()
    certificate.attach(ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER))
    reports: list[bool] = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(certificate.watch, 5.0, lambda error: reports.append(error is None))
        await trio.sleep(11)
        assert reports == []
        files.private_key.write_text('broken')
        await trio.sleep(10)
        assert reports == [False]
        files.issue('second')
        await trio.sleep(10)
        assert reports == [False, True]
        nursery.cancel_scope.cancel()


def test_error_for_mismatched_key_names_the_certificate(files: Files) -> None:
    """Guards against starting with a key that belongs to another certificate."""
    trustme.CA().issue_cert('127.0.0.1').private_key_pem.write_to_path(str(files.private_key))
    with pytest.raises(SettingsError, match='chain.pem'):
        files.certificate().check()

"""Mutual TLS between instances, with certificates of the fleet's certificate authority."""

from __future__ import annotations

import ssl
from dataclasses import dataclass
from typing import Any

from shallotmux.errors import SettingsError


@dataclass(frozen=True, slots=True)
class PeerTls:
    """Paths of the files that an instance needs for connections with its peers.

    :param authority: certificate of the fleet's certificate authority.
    :param certificate: this instance's certificate chain; its DNS name is the instance's name.
    """

    authority: str
    certificate: str
    private_key: str

    def server_context(self) -> ssl.SSLContext:
        """Return the context for accepting connections from peers."""
        return self._load(ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER))

    def client_context(self) -> ssl.SSLContext:
        """Return the context for connecting to peers, which verifies their names."""
        return self._load(ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT))

    def _load(self, context: ssl.SSLContext) -> ssl.SSLContext:
        context.minimum_version = ssl.TLSVersion.TLSv1_3
        context.verify_mode = ssl.CERT_REQUIRED
        context.set_alpn_protocols(['h2'])
        try:
            context.load_verify_locations(self.authority)
            context.load_cert_chain(self.certificate, self.private_key)
        except (OSError, ssl.SSLError) as error:
            raise SettingsError(
                f'peer certificates {self.authority}, {self.certificate}: {error}', step='tls'
            ) from error
        return context


def certified_names(certificate: dict[str, Any] | None) -> frozenset[str]:
    """Return the DNS names of a verified certificate.

    :param certificate: as returned by ``getpeercert``.
    """
    names = (certificate or {}).get('subjectAltName', ())
    return frozenset(name for kind, name in names if kind == 'DNS')

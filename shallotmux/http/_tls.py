"""Certificates that are reloaded while listeners use them."""

from __future__ import annotations

import ssl
from collections.abc import Callable
from pathlib import Path

import trio
from hypercorn.config import Config

from shallotmux.errors import SettingsError

#: Identity of a file's content: device, inode, size, modification time in nanoseconds.
Stamp = tuple[int, int, int, int]


class Certificate:
    """A certificate chain with its private key, and the TLS contexts that serve it.

    :param chain: PEM file with the certificate chain.
    :param private_key: PEM file with the private key.
    """

    def __init__(self, chain: str, private_key: str) -> None:
        self.chain = chain
        self.private_key = private_key
        self._contexts: list[ssl.SSLContext] = []
        self._stamps: tuple[Stamp, ...] = ()

    def check(self) -> None:
        """Load both files without using them.

        :raises SettingsError: naming the files, if they cannot be read or do not fit together.
        """
        try:
            ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER).load_cert_chain(self.chain, self.private_key)
        except OSError as error:
            raise SettingsError(
                f'{self.chain}, {self.private_key}: cannot load certificate: {error}', step='tls'
            ) from error

    def attach(self, context: ssl.SSLContext) -> None:
        """Keep the context of a listener up to date from now on."""
        self._contexts.append(context)
        self._stamps = self._read_stamps()

    def reload(self) -> None:
        """Serve the present content of the files to new connections.

        The files are checked first, so listeners keep the former certificate when one of them is
        broken or only one has been replaced so far.

        :raises SettingsError: if the files cannot be loaded.
        """
        stamps = self._read_stamps()
        self.check()
        for context in self._contexts:
            context.load_cert_chain(self.chain, self.private_key)
        self._stamps = stamps

    async def watch(
        self, interval_s: float, report: Callable[[SettingsError | None], None]
    ) -> None:
        """Reload whenever the files change.

        :param report: is told of each reload, with the error if it failed.
        """
        reported = self._stamps
        while True:
            await trio.sleep(interval_s)
            stamps = self._read_stamps()
            if stamps in {self._stamps, reported}:
                continue
            reported = stamps
            try:
                self.reload()
            except SettingsError as error:
                report(error)
            else:
                report(None)

    def _read_stamps(self) -> tuple[Stamp, ...]:
        return tuple(_read_stamp(Path(each)) for each in (self.chain, self.private_key))


class ServerConfig(Config):
    """Server configuration whose TLS context follows a certificate."""

    source: Certificate | None = None

    def create_ssl_context(self) -> ssl.SSLContext | None:
        """Return the context of a listener and attach it to the certificate."""
        context = super().create_ssl_context()
        if context is not None and self.source is not None:
            self.source.attach(context)
        return context


def _read_stamp(path: Path) -> Stamp:
    try:
        found = path.stat()
    except OSError:
        return (0, 0, 0, 0)
    return (found.st_dev, found.st_ino, found.st_size, found.st_mtime_ns)

"""TLS certificates that are reloaded while listeners use them."""

from __future__ import annotations

import ssl
from collections.abc import Callable
from pathlib import Path

import trio
from hypercorn.config import Config

from shallotmux.errors import SettingsError

#: Version of a file: device, inode, size and modification time in nanoseconds.
FileStamp = tuple[int, int, int, int]


class Certificate:
    """A certificate chain with its private key, and the TLS contexts that use it.

    :param chain: PEM file with the certificate chain.
    :param private_key: PEM file with the private key.
    """

    def __init__(self, chain: str, private_key: str) -> None:
        self.chain = chain
        self.private_key = private_key
        self._contexts: list[ssl.SSLContext] = []
        self._stamps: tuple[FileStamp, ...] = ()

    def check(self) -> None:
        """Check that both files can be loaded, without applying them.

        :raises SettingsError: if they cannot be read or do not match; the message names the files.
        """
        try:
            ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER).load_cert_chain(self.chain, self.private_key)
        except OSError as error:
            raise SettingsError(
                f'{self.chain}, {self.private_key}: cannot load certificate: {error}', step='tls'
            ) from error

    def attach(self, context: ssl.SSLContext) -> None:
        """Register the context of a listener to be updated by :meth:`reload`."""
        self._contexts.append(context)
        self._stamps = self._read_stamps()

    def reload(self) -> None:
        """Use the current content of the files for new connections.

        The files are checked first, so listeners keep the previous certificate if a file is invalid
        or only one of the two has been replaced so far.

        :raises SettingsError: if the files cannot be loaded.
        """
        stamps = self._read_stamps()
        self.check()
        for context in self._contexts:
            context.load_cert_chain(self.chain, self.private_key)
        self._stamps = stamps

    async def watch(
        self, interval_s: float, on_reload: Callable[[SettingsError | None], None]
    ) -> None:
        """Reload whenever the files change, until cancelled.

        :param interval_s: interval of the checks in seconds.
        :param on_reload: called after each reload, with the error or None.
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
                on_reload(error)
            else:
                on_reload(None)

    def _read_stamps(self) -> tuple[FileStamp, ...]:
        return tuple(_read_stamp(Path(each)) for each in (self.chain, self.private_key))


class ServerConfig(Config):
    """Server configuration whose TLS context is updated when the certificate is reloaded."""

    certificate: Certificate | None = None

    def create_ssl_context(self) -> ssl.SSLContext | None:
        """Create the TLS context of a listener and attach it to the certificate."""
        context = super().create_ssl_context()
        if context is not None and self.certificate is not None:
            self.certificate.attach(context)
        return context


def _read_stamp(path: Path) -> FileStamp:
    try:
        stat = path.stat()
    except OSError:
        return (0, 0, 0, 0)
    return (stat.st_dev, stat.st_ino, stat.st_size, stat.st_mtime_ns)

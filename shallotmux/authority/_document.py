"""Versioned configuration document; the highest version wins."""

from __future__ import annotations

from dataclasses import dataclass

from shallotmux.authority._codec import registry
from shallotmux.authority._results import Applied


@dataclass(frozen=True, slots=True)
class PutDocument:
    """Replaces the configuration document if its version is higher than the current one.

    A document with an equal or lower version is acknowledged without effect, so that the sender of
    a repeated or outdated document stops retrying.

    :param content: document as the operator sent it; validated before it is submitted.
    """

    operation_id: str
    version: int
    content: bytes


@dataclass(frozen=True, slots=True)
class ReadDocument:
    """Reads the document; the read is linearizable.

    The leader answers once a majority has confirmed it. Earlier builds commit the read to the log.
    """

    operation_id: str


@dataclass(frozen=True, slots=True)
class DocumentRead:
    """The document as of a read.

    :param version: 0 if there is no document yet.
    """

    version: int
    content: bytes


registry.register(PutDocument, ReadDocument, DocumentRead)


@dataclass(slots=True)
class DocumentState:
    """The current configuration document."""

    version: int = 0
    content: bytes = b''

    def apply(self, command: PutDocument, revision: int) -> Applied:
        """Replace the document if the version is higher."""
        if command.version > self.version or not self.content:
            self.version = command.version
            self.content = command.content
        return Applied(revision)

    def dump(self) -> list[bytes]:
        """Return the document for a snapshot."""
        return [str(self.version).encode(), self.content]

    def restore(self, dumped: list[bytes]) -> None:
        """Load the document of a snapshot."""
        self.version = int(dumped[0])
        self.content = dumped[1]

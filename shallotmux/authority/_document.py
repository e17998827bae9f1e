"""The whole configuration under a version: the highest version wins."""

from __future__ import annotations

from dataclasses import dataclass

from shallotmux.authority._codec import registry
from shallotmux.authority._results import Applied


@dataclass(frozen=True, slots=True)
class PutDocument:
    """Replaces the configuration document if its version is higher than the one held.

    A document with another version is acknowledged without effect, so that resends and documents
    that were overtaken have a definite end.

    :param content: document as the operator sent it; checked before it is submitted.
    """

    operation_id: str
    version: int
    content: bytes


@dataclass(frozen=True, slots=True)
class ReadDocument:
    """Reads the document through the log, so that no older one can be returned."""

    operation_id: str


@dataclass(frozen=True, slots=True)
class DocumentRead:
    """The document at the position of a read in the log.

    :param version: 0 when there is no document yet.
    """

    version: int
    content: bytes


registry.register(PutDocument, ReadDocument, DocumentRead)


@dataclass(slots=True)
class DocumentState:
    """The configuration document in force."""

    version: int = 0
    content: bytes = b''

    def apply(self, command: PutDocument, revision: int) -> Applied:
        """Take a document with a higher version."""
        if command.version > self.version or not self.content:
            self.version = command.version
            self.content = command.content
        return Applied(revision)

    def dump(self) -> list[bytes]:
        """Return the document for a snapshot."""
        return [str(self.version).encode(), self.content]

    def restore(self, dumped: list[bytes]) -> None:
        """Take the document of a snapshot."""
        self.version = int(dumped[0])
        self.content = dumped[1]

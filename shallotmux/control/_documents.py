"""Operators' access to the configuration document."""

from __future__ import annotations

from collections.abc import Callable
from uuid import uuid4

from eliot import log_message

from shallotmux.authority import Authority, DocumentRead, PutDocument, ReadDocument
from shallotmux.errors import AuthorityUnavailable
from shallotmux.routes import RouteDocument, check_document


class DocumentService:
    """Checks, commits and reads documents.

    :param decode: reads a document as operators write it; raises ``DocumentInvalid``.
    """

    def __init__(self, authority: Authority, decode: Callable[[bytes], RouteDocument]) -> None:
        self._authority = authority
        self._decode = decode

    async def put(self, content: bytes) -> None:
        """Commit a document; one that was overtaken is acknowledged without effect.

        :raises DocumentInvalid: if it cannot be read or breaks a rule; nothing has changed then.
        :raises AuthorityUnavailable: if it was not committed.
        :raises OutcomeUnknown: if it may or may not have been committed.
        """
        document = self._decode(content)
        check_document(document)
        # Each call has an id of its own: repeats of a document are told apart by its version.
        await self._authority.submit(PutDocument(uuid4().hex, document.version, content))
        log_message(message_type='shallotmux:document-acknowledged', version=document.version)

    async def read(self) -> bytes:
        """Return the newest document, as the operator sent it; empty if there is none.

        :raises AuthorityUnavailable: if it cannot be proved to be the newest.
        """
        found = await self._authority.submit(ReadDocument(uuid4().hex))
        if not isinstance(found, DocumentRead):
            raise AuthorityUnavailable(f'unexpected result {found!r}', step='read document')
        return found.content

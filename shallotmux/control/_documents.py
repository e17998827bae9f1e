"""Write and read the configuration document on behalf of operators."""

from __future__ import annotations

from collections.abc import Callable
from uuid import uuid4

from eliot import log_message

from shallotmux.authority import Authority, DocumentRead, PutDocument, ReadDocument
from shallotmux.errors import AuthorityUnavailable
from shallotmux.routes import RouteDocument, check_document


class DocumentService:
    """Validates, commits and reads configuration documents.

    :param decode: parses a document in the operators' format; raises ``DocumentInvalid``.
    """

    def __init__(self, authority: Authority, decode: Callable[[bytes], RouteDocument]) -> None:
        self._authority = authority
        self._decode = decode

    async def put(self, content: bytes) -> None:
        """Commit a document; one with an outdated version is acknowledged without effect.

        :raises DocumentInvalid: if the document cannot be parsed or is invalid; nothing changes.
        :raises AuthorityUnavailable: if the document was not committed.
        :raises OutcomeUnknown: if the document may or may not have been committed.
        """
        version = self._check(content)
        # Each call has a new operation id; duplicates are detected by the document version.
        await self._authority.submit(PutDocument(uuid4().hex, version, content))
        log_message(message_type='shallotmux:document-acknowledged', version=version)

    async def read(self) -> bytes:
        """Return the latest document as the operator sent it; empty if there is none.

        :raises AuthorityUnavailable: if a linearizable read is not possible.
        """
        found = await self._authority.submit(ReadDocument(uuid4().hex))
        if not isinstance(found, DocumentRead):
            raise AuthorityUnavailable(f'unexpected result {found!r}', step='read document')
        return found.content

    def _check(self, content: bytes) -> int:
        """Validate a document and return its version.

        The decoded document takes several times the memory of its content, so it is not kept while
        the commit is awaited.
        """
        document = self._decode(content)
        check_document(document)
        return document.version

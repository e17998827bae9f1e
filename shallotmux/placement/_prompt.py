"""Prompts, their parts, and the hashes that identify their prefixes."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

from shallotmux.crashes import digest_subject

#: Size of the hash that identifies a prefix.
PREFIX_HASH_BYTES = 8


@dataclass(frozen=True, slots=True)
class PromptPart:
    """One part of a prompt.

    :param prefix: hash of the model, this part and all parts before it.
    :param tokens: number of tokens of this part alone.
    :param digest: hash of this part alone, whatever the model and the parts before it are.
    """

    prefix: bytes
    tokens: int
    digest: int


@dataclass(frozen=True, slots=True)
class Prompt:
    """Description of the prompt of a request.

    :param parts: parts in order. All but the last may be shared with other prompts; the last one is
        specific to the request or its session.
    :param tokens: number of tokens of the whole prompt.
    :param output_tokens: maximum number of generated tokens.
    """

    parts: tuple[PromptPart, ...]
    tokens: int
    output_tokens: int

    @property
    def affinity_key(self) -> bytes:
        """Return the prefix by whose hash the prompt is assigned to its owner.

        Requests that share most of their prompt have the same one: the prefix that ends with the
        largest shared part. For a prompt without shared parts it is the prefix of its only part.
        """
        shared = self.parts[:-1] or self.parts
        if not shared:
            return b''
        return max(shared, key=lambda part: part.tokens).prefix

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """Return the parts that other prompts may share."""
        return self.parts[:-1]

    @property
    def shared_tokens(self) -> int:
        """Return the number of tokens of the shared parts."""
        return sum(part.tokens for part in self.parts[:-1])

    def cached_tokens(self, cached_prefixes: set[bytes] | frozenset[bytes]) -> int:
        """Return the number of tokens that need no prefill, given the cached prefixes.

        A cached part can be used only if all parts before it are cached as well.
        """
        cached = 0
        for part in self.parts:
            if part.prefix not in cached_prefixes:
                break
            cached += part.tokens
        return cached


def build_prompt(
    model: str, parts: tuple[tuple[str, int], ...], tokens: int, output_tokens: int
) -> Prompt:
    """Build a prompt from the ids and sizes of its parts.

    :param parts: id and number of tokens of each part, in order.
    :param tokens: number of tokens of the whole prompt; at least the sum of the parts is assumed.
    """
    hasher = hashlib.blake2b(model.encode(), digest_size=PREFIX_HASH_BYTES)
    built: list[PromptPart] = []
    for identity, size in parts:
        hasher.update(f'/{identity}'.encode())
        built.append(PromptPart(hasher.digest(), size, digest_subject(identity.encode())))
    return Prompt(tuple(built), max(tokens, sum(part.tokens for part in built)), output_tokens)

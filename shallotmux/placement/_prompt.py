"""Parts of a prompt and the identity of each prefix that they form."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

#: Size of the hash that identifies a prefix.
PREFIX_HASH_BYTES = 8


@dataclass(frozen=True, slots=True)
class PromptPart:
    """One part of a prompt.

    :param prefix: identifies this part together with all parts before it, for one model.
    :param tokens: tokens of this part alone.
    """

    prefix: bytes
    tokens: int


@dataclass(frozen=True, slots=True)
class Prompt:
    """What an engine has to read before it generates.

    :param parts: shared parts in order; the last one belongs to the request or its session.
    :param tokens: tokens of the whole prompt.
    :param output_tokens: most tokens that are generated.
    """

    parts: tuple[PromptPart, ...]
    tokens: int
    output_tokens: int

    @property
    def home_key(self) -> bytes:
        """Return the prefix by which requests that share most of their prompt come together.

        That is the prefix that ends with the largest shared part; a prompt without shared parts
        has its own.
        """
        shared = self.parts[:-1] or self.parts
        if not shared:
            return b''
        return max(shared, key=lambda part: part.tokens).prefix

    @property
    def shared_tokens(self) -> int:
        """Return the tokens of the parts that other prompts share."""
        return sum(part.tokens for part in self.parts[:-1])

    def cached_tokens(self, cached_prefixes: set[bytes] | frozenset[bytes]) -> int:
        """Return the tokens that need not be read where some prefixes are held.

        A part is only useful if all parts before it are held, too.
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
    """Return a prompt from the ids and sizes of its parts.

    :param parts: id and tokens of each part, in order.
    """
    hasher = hashlib.blake2b(model.encode(), digest_size=PREFIX_HASH_BYTES)
    built: list[PromptPart] = []
    for identity, size in parts:
        hasher.update(f'/{identity}'.encode())
        built.append(PromptPart(hasher.digest(), size))
    return Prompt(tuple(built), max(tokens, sum(part.tokens for part in built)), output_tokens)

"""Tests of the prompts that requests describe in their headers."""

from __future__ import annotations

import pytest

from shallotmux.forwarding import CallerRequest
from shallotmux.placement import Prompt
from shallotmux.platform import DIALECT, HEADERS
from shallotmux.platform._prompts import MAX_TOKENS

#: Counts that are no number of tokens: out of range, too large for a float, longer than Python converts.
ODD_COUNTS = (-5, MAX_TOKENS + 1, 10**300, 10**400, 10**4299)


def read(counts: str, parts: str) -> Prompt | None:
    """Return the prompt of a request with these headers."""
    headers = (
        (HEADERS.model, b'm'),
        (HEADERS.token_counts, counts.encode()),
        (HEADERS.prompt_parts, parts.encode()),
    )
    return DIALECT.read_prompt(CallerRequest(b'POST', b'/', headers, b'', 0))


@pytest.mark.parametrize(
    'count', ODD_COUNTS, ids=lambda count: f'{str(count)[:2]}-{len(str(count))}'
)
def test_prompt_with_a_count_out_of_range_is_ignored(count: int) -> None:
    """Guards against a request that ends without an answer, or spoils the load of an engine for good."""
    assert read(f'{count},1', 'a:1') is None
    assert read(f'1,{count}', 'a:1') is None
    assert read('1,1', f'a:1,b:{count}') is None


def test_largest_prompt_is_read() -> None:
    """Guards against a range that leaves out prompts of any engine."""
    prompt = read(f'{MAX_TOKENS},0', f'a:{MAX_TOKENS}')
    assert prompt is not None
    assert prompt.tokens == MAX_TOKENS


@pytest.mark.parametrize('depth', [1_200, 100_000])
def test_deeply_nested_answers_are_refused(depth: int) -> None:
    """Guards against an endpoint whose answer fails in another way than an invalid one."""
    nested = b'{"kv-handle":"h","born":1,"more":%b%b}' % (b'[' * depth, b']' * depth)
    assert DIALECT.read_handle(nested) is None
    with pytest.raises(ValueError, match='recursion'):
        DIALECT.read_start(nested)

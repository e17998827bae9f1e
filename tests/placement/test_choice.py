"""Tests of the choice of engines."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from random import Random

from shallotmux.fleet import EngineRole
from shallotmux.placement import (
    EngineView,
    PlacementRequest,
    Prompt,
    build_prompt,
    choose_decode_engine,
    direct_prefill_limit,
    place_request,
    rank_owners,
)

PREFILL_ENGINES = tuple(
    EngineView(f'p-{number}', 'a', EngineRole.PREFILL, 50) for number in range(4)
)
DECODE_ENGINES = tuple(EngineView(f'd-{number}', 'a', EngineRole.DECODE, 25) for number in range(2))


def prompt(shared: str, own: int = 3000) -> Prompt:
    """Return a prompt with a large shared part."""
    return build_prompt('m', ((shared, 13_000), (f'own-{shared}', own)), 13_000 + own, 20)


def request(asked: Prompt, max_direct_tokens: float = 1500) -> PlacementRequest:
    """Return a request from zone ``a``."""
    return PlacementRequest(asked, 'a', 1200, max_direct_tokens)


def with_backlog(engine: EngineView, tokens: float) -> EngineView:
    """Return a copy of an engine with queued prompt tokens."""
    return EngineView(engine.identity, engine.zone, engine.role, 25, tokens)


def test_shared_part_has_one_owner() -> None:
    """Guards against shared parts that are prefilled on several engines."""
    placed = {
        place_request(request(prompt('s', own)), (*PREFILL_ENGINES, *DECODE_ENGINES)).prefill  # type: ignore[union-attr]
        for own in range(100, 3000, 100)
    }
    assert len(placed) == 1


def test_owners_are_spread_and_stable() -> None:
    """Guards against one engine that owns all prefixes, and changes that move all of them."""
    names = [f'p-{number}' for number in range(8)]
    keys = [f'key-{number}'.encode() for number in range(800)]
    owners = {key: rank_owners(key, names)[0] for key in keys}
    counts = Counter(owners.values())
    assert min(counts.values()) > 50
    moved = [key for key in keys if rank_owners(key, names[:-1])[0] != owners[key]]
    assert all(owners[key] == names[-1] for key in moved)


def test_busy_owner_is_avoided() -> None:
    """Guards against requests that queue at the owner while another engine is idle."""
    asked = prompt('s')
    owner_placement = place_request(request(asked), (*PREFILL_ENGINES, *DECODE_ENGINES))
    assert owner_placement is not None
    prefill_engines = tuple(
        with_backlog(each, 60_000) if each.identity == owner_placement.prefill else each
        for each in PREFILL_ENGINES
    )
    placed = place_request(request(asked), (*prefill_engines, *DECODE_ENGINES))
    assert placed is not None
    assert placed.prefill not in {owner_placement.prefill, None}


def test_long_prompt_is_not_prefilled_on_decode_engine() -> None:
    """Guards against streams delayed by a long prefill, even while prefill engines are busy."""
    prefill_engines = tuple(with_backlog(each, 90_000) for each in PREFILL_ENGINES)
    placed = place_request(request(prompt('s')), (*prefill_engines, *DECODE_ENGINES))
    assert placed is not None
    assert placed.prefill is not None


def test_decode_engine_is_not_assumed_to_cache_shared_parts() -> None:
    """Guards against long prompts taken for short ones, which caused token gaps of 400 to 540 ms.

    A decode engine was assumed to have the shared parts cached, so it prefilled the whole prompt.
    """
    prefill_engines = tuple(with_backlog(each, 90_000) for each in PREFILL_ENGINES)
    placed = place_request(request(prompt('s', own=500)), (*prefill_engines, *DECODE_ENGINES))
    assert placed is not None
    assert placed.prefill is not None


def test_cache_is_fetched_from_busy_owner() -> None:
    """Guards against shared parts that are prefilled again when their owner is busy."""
    asked = prompt('s')
    ranked = rank_owners(asked.affinity_key, [each.identity for each in PREFILL_ENGINES])
    prefill_engines = tuple(
        with_backlog(each, 30_000) if each.identity == ranked[0] else each
        for each in PREFILL_ENGINES
    )
    placed = place_request(request(asked), (*prefill_engines, *DECODE_ENGINES))
    assert placed is not None
    assert (placed.prefill, placed.fetch_from) == (ranked[1], ranked[0])
    assert placed.uncached_tokens == 3000


def test_new_owner_fetches_from_previous_owner() -> None:
    """Guards against a fleet that prefills all shared parts again when it grows."""
    asked = prompt('s')
    ranked = rank_owners(asked.affinity_key, [each.identity for each in PREFILL_ENGINES])
    placed = place_request(request(asked), (*PREFILL_ENGINES, *DECODE_ENGINES))
    assert placed is not None
    assert (placed.prefill, placed.fetch_from) == (ranked[0], ranked[1])


def test_engine_known_to_cache_a_prompt_is_preferred_as_source() -> None:
    """Guards against a second prefill while a decode engine still has the prompt in its cache."""
    asked = prompt('s')
    cached_prefixes = frozenset(part.prefix for part in asked.parts[:-1])
    holder = EngineView('d-9', 'a', EngineRole.DECODE, 25, cached_prefixes=cached_prefixes)
    placed = place_request(request(asked), (*PREFILL_ENGINES, *DECODE_ENGINES, holder))
    assert placed is not None
    assert placed.fetch_from == 'd-9'


def test_small_shared_part_is_not_fetched() -> None:
    """Guards against transfers that take longer than prefill."""
    asked = build_prompt('m', (('s', 300), ('own', 1000)), 1300, 20)
    placed = place_request(request(asked), (*PREFILL_ENGINES, *DECODE_ENGINES))
    assert placed is not None
    assert placed.fetch_from is None


def test_short_prompt_is_prefilled_directly_while_prefill_engines_are_busy() -> None:
    """Guards against short requests that queue behind long prompts."""
    prefill_engines = tuple(with_backlog(each, 60_000) for each in PREFILL_ENGINES)
    short = build_prompt('m', (('t', 200), ('own', 800)), 1000, 20)
    placed = place_request(request(short), (*prefill_engines, *DECODE_ENGINES))
    assert placed is not None
    assert placed.prefill is None
    idle = place_request(request(short), (*PREFILL_ENGINES, *DECODE_ENGINES))
    assert idle is not None
    assert idle.prefill is not None


def test_decode_engines_prefill_without_prefill_engines() -> None:
    """Guards against refusals while some engine could run the request."""
    placed = place_request(request(prompt('s')), DECODE_ENGINES)
    assert placed is not None
    assert placed.prefill is None
    assert place_request(request(prompt('s')), PREFILL_ENGINES) is None


def test_own_zone_is_preferred_when_equal() -> None:
    """Guards against traffic between zones without a benefit."""
    decode_engines = (
        EngineView('d-b', 'b', EngineRole.DECODE, 25),
        EngineView('d-a', 'a', EngineRole.DECODE, 25),
    )
    placed = place_request(request(prompt('s')), (*PREFILL_ENGINES, *decode_engines))
    assert placed is not None
    assert placed.decode == 'd-a'


def test_part_counts_as_cached_only_after_all_parts_before_it() -> None:
    """Guards against parts that count as cached although one before them is missing."""
    asked = build_prompt('m', (('a', 10), ('b', 20), ('c', 5)), 35, 1)
    prefixes = [part.prefix for part in asked.parts]
    assert asked.cached_tokens({prefixes[0], prefixes[2]}) == 10
    assert asked.cached_tokens(set(prefixes[:2])) == 30
    other = build_prompt('other', (('a', 10),), 10, 1)
    assert other.parts[0].prefix != prefixes[0]


def test_direct_prefill_limit_follows_the_gap_objective() -> None:
    """Guards against a limit that ignores the token gap objective."""
    assert direct_prefill_limit(200, 25) > direct_prefill_limit(100, 25)
    assert direct_prefill_limit(100, 25) > 0
    assert direct_prefill_limit(0, 25) == float('inf')


def test_delay_of_other_streams_counts_in_the_choice() -> None:
    """Guards against short prompts prefilled between the streams of a busy decode engine.

    The prompt itself would be answered sooner there.
    """
    short = build_prompt('m', (('own', 700),), 700, 20)
    idle_prefill = EngineView('p', 'a', EngineRole.PREFILL, 50)
    busy_decode = EngineView('d', 'a', EngineRole.DECODE, 25, running=2, slots=64)
    queued_prefill = EngineView('p', 'a', EngineRole.PREFILL, 50, backlog_tokens=2000)
    handed_over = place_request(request(short), (idle_prefill, busy_decode))
    assert handed_over is not None
    assert handed_over.prefill == 'p'
    still_handed_over = place_request(request(short), (queued_prefill, busy_decode))
    assert still_handed_over is not None
    assert still_handed_over.prefill == 'p'
    assert still_handed_over.expected_ms > 700 / 25 + 2


def test_decode_engines_of_about_the_same_delay_are_drawn() -> None:
    """Guards against instances with the same reports that all choose the same decode engine."""
    engines = [
        EngineView(f'd-{number}', 'a', EngineRole.DECODE, 25, running=number / 4, slots=64)
        for number in range(6)
    ]
    busy = EngineView('d-busy', 'a', EngineRole.DECODE, 25, running=30, slots=64)
    random = Random(1)
    asked = PlacementRequest(prompt('s'), 'a', 1200, 1500, random.random)
    chosen = Counter(choose_decode_engine(asked, (*engines, busy)) for _ in range(200))
    assert set(chosen) == {each.identity for each in engines}
    assert max(chosen.values()) < 100


def test_request_to_be_shed_finds_an_engine_beyond_the_owners() -> None:
    """Guards against a hot prefix whose requests are refused while other engines are idle."""
    engines = tuple(EngineView(f'p-{each}', 'a', EngineRole.PREFILL, 50) for each in range(8))
    asked = request(prompt('s'))
    owners = rank_owners(asked.prompt.affinity_key, [each.identity for each in engines])[:3]
    queued = [with_backlog(each, 200_000) if each.identity in owners else each for each in engines]
    usual = place_request(asked, (*queued, *DECODE_ENGINES))
    relieved = place_request(replace(asked, is_to_be_shed=True), (*queued, *DECODE_ENGINES))
    assert usual is not None
    assert usual.prefill in owners
    assert relieved is not None
    assert relieved.prefill not in owners
    assert not relieved.wait_ms


def test_prefill_in_another_zone_must_save_the_longer_transfer() -> None:
    """Guards against prompts whose KV cache crosses zones without a benefit, or that never may."""
    # The transfer of 16,000 tokens takes 13.3 ms longer between zones.
    own = build_prompt('m', (('own', 16_000),), 16_000, 20)
    asked = PlacementRequest(own, 'a', 1200, 1500, zone_cost_ms=4.0)
    for waits_ms, expected in ((15.0, 'p-a'), (20.0, 'p-b')):
        engines = (
            EngineView('p-a', 'a', EngineRole.PREFILL, 50, 50 * waits_ms),
            EngineView('p-b', 'b', EngineRole.PREFILL, 50),
        )
        placed = place_request(asked, (*engines, *DECODE_ENGINES))
        assert placed is not None
        assert placed.prefill == expected


def test_decode_engine_of_another_zone_must_save_the_price() -> None:
    """Guards against streams that cross zones for less than the traffic costs."""
    busy = EngineView('d-a', 'a', EngineRole.DECODE, 25, running=30, slots=64)
    idle = EngineView('d-b', 'b', EngineRole.DECODE, 25, slots=64)
    for price, expected in ((4.0, 'd-b'), (40.0, 'd-a')):
        asked = PlacementRequest(prompt('s'), 'a', 1200, 1500, zone_cost_ms=price)
        assert choose_decode_engine(asked, (busy, idle)) == expected

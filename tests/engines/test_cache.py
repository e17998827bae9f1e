"""Tests of cache events of engines, with gaps, lag and restarts."""

from __future__ import annotations

import trio

from shallotmux.decisions import PrefixIndex
from shallotmux.engines import CachePoller, EngineClient, hash_prompt
from shallotmux.world import Endpoint
from tests.requests._zone import RESTART_S, Zone, ZoneLayout, run_zone

LONG_PROMPT = 'fold along the dotted line; ' * 1000


def make_poller(zone: Zone, index: PrefixIndex) -> CachePoller:
    """Return a poller that applies the events to an index."""

    def apply_events(name: str, events: object) -> None:
        for event in events:  # type: ignore[attr-defined]
            index.apply_event(name, event.sequence, event.block, stored=event.stored)

    client = EngineClient(zone.network.client('10.9.0.4:0'))
    return CachePoller(client, list, apply_events, index.remove, 1)


def poll_around_restart(
    behaviour: dict[str, float],
) -> tuple[list[dict[str, float]], tuple[int, ...]]:
    """Poll after each of two prompts, with an engine restart in between.

    :returns: matches of the index after each poll, and the block hashes of the first prompt.
    """
    matches: list[dict[str, float]] = []
    blocks = hash_prompt({'messages': [{'role': 'user', 'content': LONG_PROMPT}]})

    async def work(zone: Zone) -> None:
        index = PrefixIndex()
        poller = make_poller(zone, index)
        endpoint = Endpoint('engine-0', 'z', zone.address('engine-0'))
        for prompt in (LONG_PROMPT, LONG_PROMPT[: len(LONG_PROMPT) // 2]):
            await zone.request_completion('tailors', prompt)
            await poller.fetch(endpoint)
            await poller.fetch(endpoint)
            matches.append(index.matches(blocks))
            zone.engines[0].crash()
            await trio.sleep(2 * RESTART_S)

    run_zone(work, ZoneLayout(engines=1, entries=1, behaviour=behaviour))
    return matches, blocks


def test_event_blocks_equal_prompt_hashes() -> None:
    """Guards against block hashes that differ between instances and engines."""
    matches, blocks = poll_around_restart({'cache_blocks': 100})
    assert len(blocks) == 3
    assert matches[0] == {'engine-0': 3}


def test_events_after_engine_restart_are_applied() -> None:
    """Guards against ignoring an engine whose event numbers started over."""
    matches, _ = poll_around_restart({'cache_blocks': 100})
    # One block was stored after the restart; the other two count half, as they may be lost.
    assert matches[1] == {'engine-0': 1 + 2 * 0.5}


def test_gap_lowers_confidence_in_earlier_events() -> None:
    """Guards against relying fully on blocks whose evictions may have been missed."""
    matches, _ = poll_around_restart({'cache_blocks': 100, 'event_gap': 2})
    assert matches[0] == {'engine-0': 0.5}


def test_delayed_events_are_not_applied_early() -> None:
    """Guards against skipping events that an engine publishes with a delay."""
    matches, _ = poll_around_restart({'cache_blocks': 100, 'lag_s': 5.0})
    assert not matches[0]

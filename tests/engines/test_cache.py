"""Cache events of engines, with gaps, lag and restarts."""

from __future__ import annotations

import trio

from shallotmux.decisions import PrefixIndex
from shallotmux.engines import CachePoller, EngineClient, hash_prompt
from shallotmux.world import Endpoint
from tests.requests._zone import RESTART_S, Zone, ZoneLayout, run_zone

SHEET = 'fold along the dotted line; ' * 1000


def poller_of(zone: Zone, index: PrefixIndex) -> CachePoller:
    """Return a poller that feeds an index."""

    def follow(name: str, events: object) -> None:
        for event in events:  # type: ignore[attr-defined]
            index.follow(name, event.sequence, event.block, stored=event.stored)

    client = EngineClient(zone.network.client('10.9.0.4:0'))
    return CachePoller(client, list, follow, index.remove, 1)


def run_with(behaviour: dict[str, float]) -> tuple[list[dict[str, float]], tuple[int, ...]]:
    """Ask twice and restart the engine between, and return what the index knows each time."""
    seen: list[dict[str, float]] = []
    blocks = hash_prompt({'messages': [{'role': 'user', 'content': SHEET}]})

    async def work(zone: Zone) -> None:
        index = PrefixIndex()
        poller = poller_of(zone, index)
        endpoint = Endpoint('engine-0', 'z', zone.address('engine-0'))
        for prompt in (SHEET, SHEET[: len(SHEET) // 2]):
            await zone.ask('tailors', prompt)
            await poller.fetch(endpoint)
            await poller.fetch(endpoint)
            seen.append(index.matches(blocks))
            zone.engines[0].crash()
            await trio.sleep(2 * RESTART_S)

    run_zone(work, ZoneLayout(engines=1, entries=1, behaviour=behaviour))
    return seen, blocks


def test_events_name_the_blocks_of_prompts() -> None:
    """Guards against hashes that differ between instances and engines."""
    seen, blocks = run_with({'cache_blocks': 100})
    assert len(blocks) == 3
    assert seen[0] == {'engine-0': 3}


def test_restarted_engine_is_followed_again() -> None:
    """Guards against an index that ignores an engine whose numbers began anew."""
    seen, _ = run_with({'cache_blocks': 100})
    # One block is known to be stored, the two others were lost or not.
    assert seen[1] == {'engine-0': 1 + 2 * 0.5}


def test_gap_makes_earlier_events_doubtful() -> None:
    """Guards against full trust in an engine whose evictions may have been missed."""
    seen, _ = run_with({'cache_blocks': 100, 'event_gap': 2})
    assert seen[0] == {'engine-0': 0.5}


def test_late_events_are_not_yet_known() -> None:
    """Guards against a page number that skips events which come late."""
    seen, _ = run_with({'cache_blocks': 100, 'lag_s': 5.0})
    assert not seen[0]

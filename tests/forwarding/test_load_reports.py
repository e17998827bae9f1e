"""Tests of the load that endpoints report in the heads of their answers, and of its exchange."""

from __future__ import annotations

from random import Random

import pytest
import trio
import trio.testing
from hypothesis import given
from hypothesis import strategies as st

from shallotmux.estimates import Estimator, LoadReport
from shallotmux.fleet import EndpointReport, EngineRole, ListedEndpoint, Listing, LoadSharing
from shallotmux.forwarding import EndpointDirectory
from shallotmux.forwarding._least_loaded import choose_least_loaded
from shallotmux.forwarding._load_reports import MAX_REPORT_AGE_S, SHARED_FOR_S, parse_load
from shallotmux.forwarding._state import EndpointState, InFlightWork
from tests.forwarding._harness import ReceivedRequest, ScriptedEndpoint, answer, run_forwarder
from tests.forwarding.test_engines import (
    DIALECT,
    configure_engines,
    generate,
    make_event,
)
from tests.support.log_lines import capture_lines

WORKERS = tuple(
    ListedEndpoint(f'w-{number}', 'desk', f'10.0.0.{number}:1', 'a', 6, started_ms=1)
    for number in range(3)
)


ZONE = ('10.9.0.1:1', '10.9.0.2:1')


def make_sharing(name: str) -> LoadSharing:
    """Return the exchange of datagrams of an instance of the zone."""
    return LoadSharing(f'{name}~1', name, lambda: ZONE, dict, None, lambda: ZONE)


class Instance:
    """What an entry instance knows of three workers."""

    def __init__(self) -> None:
        self.directory = EndpointDirectory(lambda _: None)
        self.estimator = Estimator()
        self.directory.reports.watch(self.estimator)
        self.results: list[str] = []
        self.directory.reports.count_result = self.results.append
        self.directory.update_listing(Listing(WORKERS))

    def state(self, name: str = 'w-0') -> EndpointState:
        """Return the state of a worker."""
        found = self.directory.find(name)
        assert found is not None
        return found

    def report(self, text: bytes, name: str = 'w-0') -> None:
        """Record the header of an answer."""
        self.directory.reports.record(self.state(name), text, trio.current_time())

    def choose(self) -> str:
        """Return the worker that a request would go to."""
        usable = self.directory.usable('desk')
        found = choose_least_loaded(usable, 'a', float, self.estimator.rank_plain)
        assert found is not None
        return found.identity

    def connect(self, sharing: LoadSharing) -> None:
        """Let datagrams carry the reports, as the entry program does."""
        reports = self.directory.reports
        sharing.share_reports = lambda: reports.shared(trio.current_time())
        sharing.receive_reports = lambda shared: reports.receive(shared, trio.current_time())

    def share_with(self, other: Instance) -> None:
        """Send the reports to another instance, as datagrams do."""
        now = trio.current_time()
        other.directory.reports.receive(self.directory.reports.shared(now), now)


@pytest.mark.parametrize(
    ('text', 'expected'),
    [
        (b'3,2,4', LoadReport(3, 2, 4, 100, 7.0)),
        (b'3, 2, 4, 180', LoadReport(3, 2, 4, 180, 7.0)),
        (b'3,2,4,180,9', LoadReport(3, 2, 4, 180, 7.0)),
        (b'3,2,4,180,x,,\xff', LoadReport(3, 2, 4, 180, 7.0)),
        (b'3,2', None),
        (b'3,2,4,', None),
        (b'3,2,4,fast', None),
        (b'', None),
    ],
)
def test_first_four_numbers_count(text: bytes, expected: LoadReport | None) -> None:
    """Guards against reports that are dropped since they have four numbers, or more."""
    assert parse_load(text, 7.0) == expected


@given(st.binary(max_size=200))
def test_any_header_is_parsed(text: bytes) -> None:
    """Guards against an answer that ends its request by an odd load."""
    report = parse_load(text, 0.0)
    assert report is None or report.running >= 0


async def test_unreadable_reports_are_counted_and_logged_seldom(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against reports that are dropped silently, and against a line for each of them."""
    instance = Instance()
    with capture_lines('shallotmux:load-unreadable') as lines:
        for _ in range(100):
            instance.report(b'busy')
        instance.report(b'1,1,6,0')
        await trio.sleep(10)
        instance.report(b'busy')
    assert instance.results.count('unreadable') == 101
    assert instance.results.count('implausible') == 1
    assert [line['count'] for line in lines] == [1, 102]
    assert lines[0]['reason'] == 'desk'
    assert instance.state().model.report is None


async def test_missing_header_tells_nothing(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against services without reports that are counted as unreadable."""
    instance = Instance()
    instance.directory.reports.record(instance.state(), None, 0.0)
    assert not instance.results


async def test_busy_endpoint_gets_less_at_all_instances_of_the_zone(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against instances that each must hear from a busy endpoint themselves."""
    first, second = Instance(), Instance()
    assert second.choose() == 'w-0'
    first.report(b'6,9,6,100')
    first.report(b'0,0,6,250', 'w-1')
    first.share_with(second)
    assert second.choose() == 'w-2'
    assert second.results == ['shared', 'shared']
    await trio.sleep(0.2)
    first.report(b'1,0,6,100')
    first.share_with(second)
    # Its report of a free endpoint has replaced the one of a busy one.
    assert second.state().model.report == LoadReport(1, 0, 6, 100, 0.2)
    # Without reports, it is used again after some half-lives.
    await trio.sleep(3)
    ranks = [second.estimator.rank_plain(second.state(f'w-{each}'), 3.2) for each in range(3)]
    assert max(ranks) == pytest.approx(min(ranks), abs=0.15)


async def test_own_requests_of_the_receiver_are_not_counted_twice(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against an instance that avoids an endpoint because of its own requests there."""
    first, second = Instance(), Instance()
    with InFlightWork(second.state(), 0), InFlightWork(second.state(), 0):
        await trio.sleep(0.1)
        first.report(b'5,0,6,100')
        await trio.sleep(0.1)
        with InFlightWork(second.state(), 0):
            first.share_with(second)
            model = second.state().model
            assert (second.state().in_flight, model.others_running) == (3, 3.0)


async def test_endpoints_of_about_the_same_load_are_drawn(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against one endpoint that gets all requests since it was last heard to be idle."""
    instance = Instance()
    random = Random(1)
    usable = instance.directory.usable('desk')

    def rank_load(state: EndpointState, _: float) -> float:
        return 1 + (state.identity == 'w-0') / 50

    chosen = [choose_least_loaded(usable, 'a', random.random, rank_load) for _ in range(50)]
    assert {each.identity for each in chosen if each} == {'w-0', 'w-1', 'w-2'}


async def test_younger_report_stays(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against reports of others that replace newer ones, and against doubled datagrams."""
    first, second = Instance(), Instance()
    first.report(b'6,9,6,100')
    await trio.sleep(0.1)
    second.report(b'0,0,6,100')
    first.share_with(second)
    assert second.state().model.report == LoadReport(0, 0, 6, 100, 0.1)
    assert second.results == ['own', 'known']


async def test_received_reports_are_not_passed_on(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against a report that instances send each other without end."""
    first, second = Instance(), Instance()
    first.report(b'6,9,6,100')
    first.share_with(second)
    assert not second.directory.reports.shared(trio.current_time())
    await trio.sleep(SHARED_FOR_S)
    assert not first.directory.reports.shared(trio.current_time())


async def test_busy_endpoints_come_first(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against a full datagram without the endpoints that matter."""
    instance = Instance()
    instance.report(b'6,9,6,100', 'w-2')
    await trio.sleep(0.1)
    instance.report(b'1,0,6,100', 'w-0')
    await trio.sleep(0.1)
    instance.report(b'1,0,6,200', 'w-1')
    shared = instance.directory.reports.shared(trio.current_time())
    starts = [instance.state(name).start_number for name in ('w-1', 'w-2', 'w-0')]
    assert [each.start for each in shared] == starts
    assert [each.age_ms for each in shared] == [0, 200, 100]


async def test_report_of_an_earlier_start_is_ignored(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against the load of an endpoint before its restart, under the same identity."""
    first, second = Instance(), Instance()
    first.report(b'6,40,6,100')
    shared = first.directory.reports.shared(0.0)
    restarted = ListedEndpoint('w-0', 'desk', '10.0.0.0:1', 'a', 6, started_ms=2)
    for each in (first, second):
        each.directory.update_listing(Listing((restarted, *WORKERS[1:])))
    second.directory.reports.receive(shared, 0.0)
    assert second.results == ['unknown']
    assert first.state().model.report is None
    assert not first.directory.reports.shared(0.0)


@pytest.mark.parametrize(
    ('changes', 'result'),
    [
        ({'age_ms': int(1000 * MAX_REPORT_AGE_S) + 1}, 'old'),
        ({'age_ms': 2**63}, 'old'),
        ({'age_ms': -1}, 'implausible'),
        ({'running': 2**63}, 'implausible'),
        ({'waiting': -1}, 'implausible'),
        ({'slots': 10**9}, 'implausible'),
        ({'pace': 0}, 'implausible'),
        ({'pace': 10**6}, 'implausible'),
        ({'start': -1}, 'unknown'),
    ],
)
async def test_absurd_or_old_report_is_ignored(
    autojump_clock: trio.testing.MockClock, changes: dict[str, int], result: str
) -> None:
    """Guards against numbers in a datagram that attract all requests, or keep all off."""
    instance = Instance()
    numbers = {
        'start': instance.state().start_number,
        'running': 1,
        'waiting': 1,
        'slots': 6,
        'pace': 100,
        'age_ms': 5,
        **changes,
    }
    instance.directory.reports.receive([EndpointReport(*numbers.values())], 100.0)
    assert instance.results == [result]
    assert instance.state().model.report is None


async def test_datagrams_of_the_zone_reach_the_models(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against the parts of the exchange that fit each other, and not the datagrams between them."""
    first, second = Instance(), Instance()
    sharings = [make_sharing(name) for name in ZONE]
    first.connect(sharings[0])
    second.connect(sharings[1])
    first.report(b'6,9,6,140')
    sharings[1].receive(sharings[0].next_messages()[0])
    assert second.state().model.report == LoadReport(6, 9, 6, 140, 0.0)


async def wait_for_lines(lines: list[dict[str, object]], number: int) -> None:
    """Wait until a number of lines is written; the last one follows the end of an answer."""
    with trio.fail_after(5):
        while len(lines) < number:
            await trio.sleep(0.005)


async def test_attempt_names_the_expected_time() -> None:
    """Guards against estimates that nobody compares with what happened."""

    async def work(stream: trio.SocketStream, received: ReceivedRequest) -> bool:
        await trio.sleep(0.12)
        await stream.send_all(answer(received, extra=b'X-Endpoint-Load: 1,0,4,120\r\n'))
        return True

    async with run_forwarder(ScriptedEndpoint(work)) as harness:
        with capture_lines('shallotmux:attempt') as lines:
            for number in range(6):
                await harness.make_request('/once/', request_id=f'r-{number}')
            await wait_for_lines(lines, 6)
        registry = harness.forwarder.metrics.registry
        compared = registry.get_sample_value('shallotmux_estimate_ratio_count', {'service': 'desk'})
        counted = registry.get_sample_value('shallotmux_load_reports_total', {'result': 'own'})
        state = harness.forwarder.directory.find('e-0')
        assert state is not None
        assert state.model.report is not None
        assert state.model.report.pace_percent == 120
    assert (compared, counted) == (6, 6)
    assert lines[0]['expected_ms'] == pytest.approx(50)
    # What was seen replaces the assumption.
    assert 90 <= lines[-1]['expected_ms'] < 2 * lines[-1]['first_ms']


async def test_placement_names_the_age_of_its_report() -> None:
    """Guards against placements by old reports that look like placements by new ones."""

    async def prefill(stream: trio.SocketStream, received: ReceivedRequest) -> bool:
        await stream.send_all(answer(received, b'handle', extra=b'X-Endpoint-Load: 1,0,64,100\r\n'))
        return True

    prefill_engine, decode_engine = ScriptedEndpoint(prefill), ScriptedEndpoint(generate)
    async with run_forwarder(prefill_engine, decode_engine, dialect=DIALECT) as harness:
        configure_engines(harness, [prefill_engine], [decode_engine])
        with (
            capture_lines('shallotmux:placement') as placements,
            capture_lines('shallotmux:attempt') as attempts,
        ):
            for number in range(2):
                got = await harness.make_request('/ask/', request_id=f'r-{number}')
                await trio.sleep(0.02)
            await wait_for_lines(attempts, 2)
        engine = harness.forwarder.directory.find('p-0')
        assert engine is not None
        assert engine.listed.role is EngineRole.PREFILL
    assert got.body == make_event(f'{prefill_engine.address}/handle')
    assert placements[0]['age_ms'] is None
    assert placements[1]['age_ms'] >= 15
    assert [line['expected_ms'] for line in attempts] == [
        line['expected_ms'] for line in placements
    ]


async def test_refused_prefill_still_reports_its_load() -> None:
    """Guards against a full engine whose report is lost since it refused."""

    async def refuse(stream: trio.SocketStream, received: ReceivedRequest) -> bool:
        extra = b'X-Not-Run: 1\r\nX-Endpoint-Load: 64,9,64,100\r\n'
        await stream.send_all(answer(received, b'', status=503, extra=extra))
        return True

    prefill_engine, decode_engine = ScriptedEndpoint(refuse), ScriptedEndpoint(generate)
    async with run_forwarder(prefill_engine, decode_engine, dialect=DIALECT) as harness:
        configure_engines(harness, [prefill_engine], [decode_engine])
        await harness.make_request('/ask/')
        engine = harness.forwarder.directory.find('p-0')
        assert engine is not None
        assert engine.model.report is not None
        assert engine.model.report.waiting == 9
        assert engine.model.fullness(trio.current_time()) > 0

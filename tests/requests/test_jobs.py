"""At-most-once jobs under resends and crashes of instances and services."""

from __future__ import annotations

import os
from collections import Counter, deque
from random import Random

import trio

from shallotmux.requests import RequestSettings
from shallotmux.standins import ServiceFault
from tests.requests._checker import check_histories
from tests.requests._zone import JobCall, Zone, ZoneLayout, run_zone

#: Number of random jobs; the target ``failure-matrix`` of the Makefile raises it to 10,000.
JOBS = int(os.environ.get('SHALLOTMUX_JOBS', '1000'))
FAULTS = (None, None, None, *ServiceFault)
FINAL_CODES = ('done', 'outcome_unknown')
SHORT_DEADLINES = RequestSettings(job_deadline_s=3, job_wait_s=1)


def run_jobs(*faults: ServiceFault | None, calls: int = 2, pause_s: float = 0.0) -> list[JobCall]:
    """Call one job several times in sequence under faults of the service."""

    async def work(zone: Zone) -> None:
        zone.services[0].behaviour.faults = deque(faults)
        for number in range(calls):
            await zone.call_job('tailors', 'job-1', zone.entries[number % 2])
            await trio.sleep(pause_s)

    zone = run_zone(work, ZoneLayout(services=1, settings=SHORT_DEADLINES))
    check_histories(zone)
    return zone.jobs


def test_resend_gets_stored_answer() -> None:
    """Guards against a resend that runs the job again or gets a different answer."""
    first, second = run_jobs()
    assert first.status == second.status == 200
    assert first.body == second.body


def test_crash_after_run_is_unknown() -> None:
    """Guards against dispatching a job again after its answer was lost."""
    calls = run_jobs(ServiceFault.CRASH_AFTER)
    assert {(call.code, call.not_run) for call in calls} == {('outcome_unknown', False)}


def test_refusal_releases_the_claim() -> None:
    """Guards against a claim that blocks a job forever after a service refused it."""
    calls = run_jobs(*(ServiceFault.REFUSE for _ in range(SHORT_DEADLINES.attempts)))
    assert [(call.code, call.not_run) for call in calls] == [('not_run', True), ('done', False)]


def test_answer_of_another_call_is_rejected() -> None:
    """Guards against storing an answer that belongs to another call."""
    assert {call.code for call in run_jobs(ServiceFault.CROSS)} == {'outcome_unknown'}


def test_late_answer_ends_unknown() -> None:
    """Guards against a job that stays running because its service does not answer."""
    assert {call.code for call in run_jobs(ServiceFault.DELAY)} == {'outcome_unknown'}


def test_resend_while_running_is_rejected() -> None:
    """Guards against a second dispatch, and against an unbounded wait, while the job runs."""

    async def work(zone: Zone) -> None:
        zone.services[0].behaviour.run_s = 2.0
        async with trio.open_nursery() as nursery:
            nursery.start_soon(zone.call_job, 'tailors', 'job-1', zone.entries[0])
            await trio.sleep(0.1)
            early = await zone.call_job('tailors', 'job-1', zone.entries[1])
            assert (early.status, early.code, early.not_run) == (409, 'job_running', False)
            waiting = await zone.call_job('tailors', 'job-1', zone.entries[1])
            assert waiting.status == 200

    check_histories(run_zone(work, ZoneLayout(services=1, settings=SHORT_DEADLINES)))


def test_customers_and_bodies_are_distinguished() -> None:
    """Guards against returning the answer to another customer's job, or to a different body."""

    async def work(zone: Zone) -> None:
        await zone.call_job('tailors', 'job-1', zone.entries[0])
        other = await zone.call_job('tailors', 'job-1', zone.entries[0], body=b'other')
        assert (other.status, other.code, other.not_run) == (422, 'idempotency_mismatch', True)
        await zone.call_job('cutters', 'job-1', zone.entries[0], body=b'job-of-cutters')

    zone = run_zone(work, ZoneLayout(services=1))
    assert zone.executions == {'job-1': 1, 'job-of-cutters': 1}


def test_large_answer_is_kept_as_digest() -> None:
    """Guards against large answers in the replicated state, and a second run if one is not kept."""

    async def work(zone: Zone) -> None:
        zone.services[0].behaviour.answer_bytes = 100_000
        await zone.call_job('tailors', 'job-1', zone.entries[0])
        resent = await zone.call_job('tailors', 'job-1', zone.entries[1])
        assert (resent.status, resent.code) == (409, 'answer_not_kept')

    assert run_zone(work, ZoneLayout(services=1)).executions['job-1'] == 1


def test_claim_of_killed_instance_becomes_unknown() -> None:
    """Guards against a job that is dispatched again, or stays running, after its instance died."""

    async def work(zone: Zone) -> None:
        zone.services[0].behaviour.run_s = 0.5
        async with trio.open_nursery() as nursery:
            nursery.start_soon(zone.call_job, 'tailors', 'job-1', zone.entries[0])
            await trio.sleep(0.1)
            zone.entries[0].kill()
        running = await zone.call_job('tailors', 'job-1', zone.entries[1])
        assert running.code == 'job_running'
        await trio.sleep(3)
        later = await zone.call_job('tailors', 'job-1', zone.entries[1])
        assert (later.code, later.not_run) == ('outcome_unknown', False)

    check_histories(run_zone(work, ZoneLayout(services=1, settings=SHORT_DEADLINES)))


def test_restarted_instance_settles_its_former_claims() -> None:
    """Guards against resends that wait for the deadline of a claim of a restarted instance."""

    async def work(zone: Zone) -> None:
        zone.services[0].behaviour.run_s = 0.5
        async with trio.open_nursery() as nursery:
            nursery.start_soon(zone.call_job, 'tailors', 'job-1', zone.entries[0])
            await trio.sleep(0.1)
            await zone.replace_entry(0)
        await trio.sleep(0.5)
        resent = await zone.call_job('tailors', 'job-1', zone.entries[1])
        assert (resent.code, resent.not_run) == ('outcome_unknown', False)
        assert trio.current_time() < SHORT_DEADLINES.job_deadline_s

    check_histories(run_zone(work, ZoneLayout(services=1, settings=SHORT_DEADLINES)))


def test_job_is_refused_as_not_run_without_authority() -> None:
    """Guards against a dispatch without a committed claim."""

    async def work(zone: Zone) -> None:
        zone.entries[0].authority.available = False
        call = await zone.call_job('tailors', 'job-1', zone.entries[0])
        assert (call.code, call.not_run) == ('authority_unavailable', True)

    assert not run_zone(work, ZoneLayout(services=1)).executions


def test_answer_is_committed_before_it_is_returned() -> None:
    """Guards against returning an answer that a resend would not get."""

    async def work(zone: Zone) -> None:
        zone.services[0].behaviour.run_s = 0.5
        async with trio.open_nursery() as nursery:
            nursery.start_soon(zone.call_job, 'tailors', 'job-1', zone.entries[0])
            await trio.sleep(0.2)
            zone.entries[0].authority.available = False
        assert (zone.jobs[0].code, zone.jobs[0].not_run) == ('outcome_unknown', False)
        zone.entries[0].authority.available = True
        await trio.sleep(1)
        assert (await zone.call_job('tailors', 'job-1', zone.entries[1])).status == 200

    check_histories(run_zone(work, ZoneLayout(services=1, settings=SHORT_DEADLINES)))


def test_call_without_key_runs_at_most_once() -> None:
    """Guards against a retry of a call that must not be repeated and may have run."""

    async def work(zone: Zone) -> None:
        zone.services[0].behaviour.faults = deque((ServiceFault.CRASH_AFTER,))
        call = await zone.call_job('tailors', 'job-1', zone.entries[0], keyed=False)
        assert (call.code, call.not_run) == ('outcome_unknown', False)

    zone = run_zone(work, ZoneLayout(services=1))
    assert len(zone.services[0].history) == 1


def run_random_jobs(jobs: int, seed: int) -> Counter[str]:
    """Call jobs with resends under crashes, and count the final codes of the jobs."""
    random = Random(seed)

    async def call(zone: Zone, number: int) -> None:
        await trio.sleep(random.uniform(0, jobs / 100))
        for _ in range(5):
            entry = random.choice(zone.entries)
            wait_s = random.choice((0.005, 0.015, 10))
            result = await zone.call_job('tailors', f'job-{number}', entry, wait_s)
            if result.code in FINAL_CODES:
                return
            await trio.sleep(random.uniform(0, 1))

    async def crash(zone: Zone) -> None:
        while True:
            await trio.sleep(random.uniform(0.2, 1))
            await zone.replace_entry(random.randrange(len(zone.entries)))

    async def work(zone: Zone) -> None:
        for service in zone.services[1:]:
            service.behaviour.faults = deque(random.choices(FAULTS, k=jobs))
            service.behaviour.delay_s = 4.0
        async with trio.open_nursery() as crashes:
            crashes.start_soon(crash, zone)
            async with trio.open_nursery() as nursery:
                for number in range(jobs):
                    nursery.start_soon(call, zone, number)
            crashes.cancel_scope.cancel()

    layout = ZoneLayout(engines=0, services=4, entries=4, settings=SHORT_DEADLINES)
    zone = run_zone(work, layout, seed)
    check_histories(zone)
    check_unknown(zone)
    last = {each.job: each for each in zone.jobs}
    return Counter(each.code for each in last.values())


def check_unknown(zone: Zone) -> None:
    """Check that only jobs which reached a service, or whose instance died, are unknown."""
    dispatched = {each.body.decode() for service in zone.services for each in service.history}
    for call in zone.jobs:
        if call.code == 'outcome_unknown':
            assert call.job in dispatched | zone.orphaned, f'job {call.job!r} was not dispatched'


def test_random_jobs_run_at_most_once() -> None:
    """Guards against a second run, or differing answers, after a crash at any point."""
    outcomes = run_random_jobs(JOBS, seed=3)
    assert outcomes['done'] > JOBS / 2

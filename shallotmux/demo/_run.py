"""Run the demonstration and print its results."""

from __future__ import annotations

import signal
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from tempfile import TemporaryDirectory

import click
import trio

from shallotmux.demo._fleet import OPERATOR_TOKEN, DemoFleet, DemoZone
from shallotmux.demo._load import (
    DemoCall,
    LoadPlan,
    LoadResult,
    run_load,
    send_call,
    send_jobs,
)
from shallotmux.http import HttpClient, HttpcoreClient
from shallotmux.operators import ObjectName

CONFIGURATION = Path(__file__).parents[2] / 'examples' / 'kockica' / 'configuration.json'
ZONES = ('varazdin', 'cakovec', 'koprivnica')
MODEL = 'block-sorter'
SERVICE = 'stock'
JOBS = 8
STATUS_OK = 200
STATUS_UNAUTHORIZED = 401

#: Zone that is temporarily isolated from the others.
ISOLATED_ZONE = ZONES[-1]

#: Timeout for a change to take effect, and interval between status checks, in seconds.
PROPAGATION_TIMEOUT_S = 9.0
STATUS_POLL_INTERVAL_S = 0.2

#: Outcomes of requests with a complete answer.
COMPLETE_OUTCOMES = frozenset(('streamed', 'collected'))


@dataclass(slots=True)
class DemoReport:
    """Results of the demonstration.

    :param results: results of the load by zone.
    :param withdrawn_status: status of a request with a withdrawn key.
    :param pending: zones in which a change was pending while one zone was isolated.
    :param isolated_status: status of a request to the isolated zone with a key of that zone.
    :param healed: whether the change took effect in all zones after the partition was healed.
    :param job_runs: number of runs of each job, which was sent twice.
    :param passed: whether all results are as expected.
    """

    results: dict[str, LoadResult] = field(default_factory=dict)
    withdrawn_status: int = 0
    pending: tuple[str, ...] = ()
    isolated_status: int = 0
    healed: bool = False
    job_runs: Counter[str] = field(default_factory=Counter)
    passed: bool = False

    def evaluate(self) -> None:
        """Set ``passed`` if all results are as expected."""
        all_complete = all(
            result.outcomes.keys() <= COMPLETE_OUTCOMES for result in self.results.values()
        )
        all_ran_once = len(self.job_runs) == JOBS and set(self.job_runs.values()) == {1}
        is_isolation_handled = (
            self.pending == (ISOLATED_ZONE,) and self.isolated_status == STATUS_OK and self.healed
        )
        is_withdrawn_key_rejected = self.withdrawn_status == STATUS_UNAUTHORIZED
        self.passed = (
            all_complete and all_ran_once and is_isolation_handled and is_withdrawn_key_rejected
        )


async def run_demo(serve: bool = False, plan: LoadPlan | None = None) -> DemoReport:
    """Start three zones, send a mixed load, withdraw a key, isolate a zone and reconnect it.

    :param serve: keep all zones running until SIGINT or SIGTERM.
    :param plan: load on each zone; the default plan if None.
    """
    report = DemoReport()
    with TemporaryDirectory() as folder:
        async with trio.open_nursery() as background:
            await _run(background, Path(folder), serve, plan or LoadPlan(), report)
            background.cancel_scope.cancel()
    return report


async def _run(
    background: trio.Nursery, folder: Path, serve: bool, plan: LoadPlan, report: DemoReport
) -> None:
    async with trio.open_nursery() as nursery:
        client = HttpcoreClient()
        fleet = DemoFleet(nursery, CONFIGURATION, folder, ZONES)
        await fleet.start(background)
        secrets = await _configure(fleet, client)
        await _send_load(fleet, client, secrets, plan, report)
        await _send_jobs(fleet.zones[ZONES[0]], client, secrets[ZONES[0]][0], report)
        await _withdraw_key(fleet.zones[ZONES[0]], client, report)
        await _isolate_zone(fleet, client, secrets[ISOLATED_ZONE][0], report)
        report.evaluate()
        click.echo('passed' if report.passed else 'FAILED')
        if serve:
            _print_commands(fleet.zones[ZONES[0]], secrets[ZONES[0]][0])
            with trio.open_signal_receiver(signal.SIGINT, signal.SIGTERM) as signals:
                await anext(aiter(signals))
        await client.close()
        fleet.stop()


async def _configure(fleet: DemoFleet, client: HttpClient) -> dict[str, list[str]]:
    """Configure all zones and return the secrets of the customer keys by zone."""
    secrets: dict[str, list[str]] = {}
    for name in ZONES:
        zone = fleet.zones[name]
        count = await fleet.configure(zone, client)
        keys = await fleet.create_keys(zone, client)
        secrets[name] = [secret for _, secret in keys.values()]
        click.echo(
            f'{name}: {len(zone.instances)} instances, {len(zone.engines)} engines, '
            f'{len(zone.services)} service, {count} objects, {len(keys)} keys'
        )
    return secrets


async def _send_load(
    fleet: DemoFleet,
    client: HttpClient,
    secrets: dict[str, list[str]],
    plan: LoadPlan,
    report: DemoReport,
) -> None:
    click.echo(f'\nload: {plan.workers} callers in each zone, {plan.rounds} requests each')

    async def load(name: str) -> None:
        zone = fleet.zones[name]
        report.results[name] = await run_load(zone, client, secrets[name], MODEL, plan)

    async with trio.open_nursery() as nursery:
        for name in ZONES:
            nursery.start_soon(load, name)
    for name in ZONES:
        click.echo(f'{name}: {report.results[name].summary()}')


async def _send_jobs(zone: DemoZone, client: HttpClient, secret: str, report: DemoReport) -> None:
    """Send each job twice to a service that must run it only once."""
    report.job_runs = await send_jobs(zone, client, secret, SERVICE, JOBS)
    runs = sum(report.job_runs.values())
    click.echo(f'\n{zone.name}: {JOBS} jobs sent twice each, {runs} runs')


async def _withdraw_key(zone: DemoZone, client: HttpClient, report: DemoReport) -> None:
    """Use a new key before and after its withdrawal."""
    operator_client = zone.operator_client(client)
    customer = (await operator_client.view('customer'))['items'][0]['name']
    created = await operator_client.create_key(customer)
    call = DemoCall(zone.caller_address(0), created['secret'], MODEL, 'Sort lot 8.', 4)
    before = await send_call(client, call, LoadResult())
    await operator_client.withdraw_key(created['key_id'])
    report.withdrawn_status = await send_call(client, call, LoadResult())
    click.echo(f'\nkey of {customer}: status {before}, withdrawn, status {report.withdrawn_status}')


async def _isolate_zone(
    fleet: DemoFleet, client: HttpClient, secret: str, report: DemoReport
) -> None:
    """Change a setting while a zone is isolated, and use a key of that zone meanwhile."""
    operator_client = fleet.zones[ZONES[0]].operator_client(client)
    object_name = ObjectName('exception', 'demonstration')
    change = {
        'subject': f'zone/{ISOLATED_ZONE}',
        'setting': 'cheap_share',
        'amount': 0.4,
        'reason': 'Shows how a change reaches a zone that is cut off.',
    }
    fleet.isolate(ISOLATED_ZONE)
    revision = (await operator_client.put(object_name, change, 0))['revision']
    call = DemoCall(fleet.zones[ISOLATED_ZONE].caller_address(1), secret, MODEL, 'Sort lot 9.', 4)
    report.isolated_status = await send_call(client, call, LoadResult())
    report.pending = await _wait_pending(fleet, revision, (ISOLATED_ZONE,))
    click.echo(
        f'\n{ISOLATED_ZONE} cut off: its own key gets status {report.isolated_status}; '
        f'a fleet-wide change is pending in {", ".join(report.pending)}'
    )
    fleet.heal()
    report.healed = not await _wait_pending(fleet, revision, ())
    click.echo('healed: the change is in force in all zones')


async def _wait_pending(
    fleet: DemoFleet, revision: int, expected: tuple[str, ...]
) -> tuple[str, ...]:
    """Wait until a revision is pending in exactly the expected zones, and return the pending zones.

    After the timeout, the zones that were last seen as pending are returned.
    """
    pending: tuple[str, ...] = ()
    status = fleet.zones[ZONES[0]].status()
    with trio.move_on_after(PROPAGATION_TIMEOUT_S):
        while True:
            pending = status.reach('exception', revision).pending
            if pending == expected:
                break
            await trio.sleep(STATUS_POLL_INTERVAL_S)
    return pending


def _print_commands(zone: DemoZone, secret: str) -> None:
    addresses = zone.instances[0].addresses
    body = f'{{"model": "{MODEL}", "stream": true, "max_tokens": 8, "messages": '
    body = f'{body}[{{"role": "user", "content": "Sort lot 7."}}]}}'
    click.echo(
        '\n'.join(
            (
                f'\n{zone.name} is being served; stop with Ctrl-C.',
                '\nA request as a caller:\n',
                f'curl -N http://{addresses.callers}/v1/chat/completions \\',
                f"  -H 'Authorization: Bearer {secret}' -H 'Content-Type: application/json' \\",
                f"  -d '{body}'",
                "\nThe operators' tool:\n",
                f'export SHALLOTMUX_ADDRESS={addresses.operators} SHALLOTMUX_TOKEN={OPERATOR_TOKEN}',
                f'export SHALLOTMUX_CALLER_ADDRESS={addresses.callers} SHALLOTMUX_KEY={secret}',
                'python -m shallotmux.cli status',
                f'python -m shallotmux.cli complete {MODEL} "Sort lot 7."',
                f'\nMetrics: http://{addresses.metrics}/metrics',
            )
        )
    )

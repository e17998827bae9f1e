"""Run the demonstration and print what happened."""

from __future__ import annotations

import signal
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from tempfile import TemporaryDirectory

import click
import trio

from shallotmux.demo._fleet import TOKEN, DemoFleet, DemoZone
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

#: Zone that is cut off from the others for a while.
CUT_OFF = ZONES[-1]

#: Time after which a change must be in force, and interval at which it is asked for.
IN_FORCE_S = 9.0
ASK_S = 0.2

#: Outcomes of a request that was answered completely.
COMPLETE = frozenset(('streamed', 'collected'))


@dataclass(slots=True)
class DemoReport:
    """What the demonstration showed.

    :param job_runs: how often each job ran that was sent twice.
    :param pending: zones in which a change was pending while one zone was cut off.
    :param cut_off_status: answer of the zone that was cut off to a request with its own key.
    :param healed: whether the change was in force in all zones after the cut.
    :param withdrawn_status: answer to a request with a key that was withdrawn before.
    """

    results: dict[str, LoadResult] = field(default_factory=dict)
    withdrawn_status: int = 0
    pending: tuple[str, ...] = ()
    cut_off_status: int = 0
    healed: bool = False
    job_runs: Counter[str] = field(default_factory=Counter)
    passed: bool = False

    def judge(self) -> None:
        """Decide whether everything went as it should."""
        complete = all(result.outcomes.keys() <= COMPLETE for result in self.results.values())
        once = len(self.job_runs) == JOBS and set(self.job_runs.values()) == {1}
        cut = self.pending == (CUT_OFF,) and self.cut_off_status == STATUS_OK and self.healed
        withdrawn = self.withdrawn_status == STATUS_UNAUTHORIZED
        self.passed = complete and once and cut and withdrawn


async def run_demo(serve: bool = False, plan: LoadPlan | None = None) -> DemoReport:
    """Start three zones, send a mixed load, withdraw a key, cut a zone off and heal it.

    :param serve: leave everything running until SIGINT or SIGTERM.
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
        await _cut_zone_off(fleet, client, secrets[CUT_OFF][0], report)
        report.judge()
        click.echo('passed' if report.passed else 'FAILED')
        if serve:
            _print_commands(fleet.zones[ZONES[0]], secrets[ZONES[0]][0])
            with trio.open_signal_receiver(signal.SIGINT, signal.SIGTERM) as signals:
                await anext(aiter(signals))
        await client.close()
        fleet.stop()


async def _configure(fleet: DemoFleet, client: HttpClient) -> dict[str, list[str]]:
    """Configure all zones and return the secrets of each."""
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
    """Send each job twice to a service whose calls must not be repeated."""
    report.job_runs = await send_jobs(zone, client, secret, SERVICE, JOBS)
    runs = sum(report.job_runs.values())
    click.echo(f'\n{zone.name}: {JOBS} jobs sent twice each, {runs} runs')


async def _withdraw_key(zone: DemoZone, client: HttpClient, report: DemoReport) -> None:
    """Create a key, use it, withdraw it, and use it again."""
    operator = zone.operator(client)
    customer = (await operator.view('customer'))['items'][0]['name']
    created = await operator.create_key(customer)
    call = DemoCall(zone.entry(0), created['secret'], MODEL, 'Sort lot 8.', 4)
    before = await send_call(client, call, LoadResult())
    await operator.withdraw_key(created['key_id'])
    report.withdrawn_status = await send_call(client, call, LoadResult())
    click.echo(f'\nkey of {customer}: status {before}, withdrawn, status {report.withdrawn_status}')


async def _cut_zone_off(
    fleet: DemoFleet, client: HttpClient, secret: str, report: DemoReport
) -> None:
    """Change a default while a zone is cut off, and use a key of that zone meanwhile."""
    operator = fleet.zones[ZONES[0]].operator(client)
    place = ObjectName('exception', 'demonstration')
    change = {
        'subject': f'zone/{CUT_OFF}',
        'setting': 'cheap_share',
        'amount': 0.4,
        'reason': 'Shows how a change reaches a zone that is cut off.',
    }
    fleet.cut_off(CUT_OFF)
    revision = (await operator.put(place, change, 0))['revision']
    call = DemoCall(fleet.zones[CUT_OFF].entry(1), secret, MODEL, 'Sort lot 9.', 4)
    report.cut_off_status = await send_call(client, call, LoadResult())
    report.pending = await _wait_pending(fleet, revision, (CUT_OFF,))
    click.echo(
        f'\n{CUT_OFF} cut off: its own key gets status {report.cut_off_status}; '
        f'a fleet-wide change is pending in {", ".join(report.pending)}'
    )
    fleet.heal()
    report.healed = not await _wait_pending(fleet, revision, ())
    click.echo('healed: the change is in force in all zones')


async def _wait_pending(
    fleet: DemoFleet, revision: int, wanted: tuple[str, ...]
) -> tuple[str, ...]:
    """Return the zones in which a revision is pending, once they are as wanted or time is up."""
    pending: tuple[str, ...] = ()
    status = fleet.zones[ZONES[0]].status()
    with trio.move_on_after(IN_FORCE_S):
        while True:
            pending = status.reach('exception', revision).pending
            if pending == wanted:
                break
            await trio.sleep(ASK_S)
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
                f'export SHALLOTMUX_ADDRESS={addresses.operators} SHALLOTMUX_TOKEN={TOKEN}',
                f'export SHALLOTMUX_CALLER_ADDRESS={addresses.callers} SHALLOTMUX_KEY={secret}',
                'python -m shallotmux.cli status',
                f'python -m shallotmux.cli complete {MODEL} "Sort lot 7."',
                f'\nMetrics: http://{addresses.metrics}/metrics',
            )
        )
    )

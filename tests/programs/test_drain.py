"""Tests of the drain of an entry instance."""

from __future__ import annotations

from types import SimpleNamespace

import trio
import trio.testing

from shallotmux.programs import ProgramTimes
from shallotmux.programs._entry import SHUTDOWN_MARGIN_S, EntryProgram

#: Time until the load balancer has removed an instance: two failed checks, one second apart.
REMOVED_AFTER_S = 2.0

#: Time after SIGTERM up to which a request may be cut at the end of the grace period while its
#: endpoint still works on it.
LAST_EXCUSED_S = 3.0


class FakeForwarder:
    """Records when requests end."""

    def __init__(self) -> None:
        self.end_at = -1.0

    def close(self, end_at: float) -> None:
        """Record the time."""
        self.end_at = end_at


class FakeQuotas:
    """Records when the instance leaves granting to others."""

    def __init__(self) -> None:
        self.resigned_at = -1.0

    def resign(self) -> None:
        """Record the time."""
        self.resigned_at = trio.current_time()


class FakeListener:
    """Records when connections are closed; has one request that never ends."""

    def __init__(self) -> None:
        self.open_requests = 1
        self.drained_at = -1.0
        self.closed_at = -1.0

    def drain(self) -> None:
        """Record the time."""
        self.drained_at = trio.current_time()

    def close_idle(self) -> None:
        """Record the time."""
        self.closed_at = trio.current_time()


async def test_requests_are_accepted_until_the_balancer_has_removed_the_instance(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against refused connections, and against requests taken too late to be finished.

    A stream that was accepted 3.196 s after SIGTERM was still running at the end of the grace
    period and was cut. A granter of quotas that stops without a word is missed for seconds.
    """
    listener = FakeListener()
    quotas = FakeQuotas()
    forwarder = FakeForwarder()
    times = ProgramTimes(grace_s=8.0)
    program = SimpleNamespace(
        settings=SimpleNamespace(times=times),
        _listener=listener,
        _relay_listener=FakeListener(),
        _forwarder=forwarder,
        _quotas=quotas,
        _is_draining=False,
    )
    began_at = trio.current_time()
    await EntryProgram._drain(program)  # type: ignore[arg-type]  # noqa: SLF001
    assert listener.drained_at == quotas.resigned_at == began_at
    assert REMOVED_AFTER_S < listener.closed_at - began_at < LAST_EXCUSED_S
    ended_after_s = trio.current_time() - began_at
    assert times.grace_s - SHUTDOWN_MARGIN_S <= ended_after_s < times.grace_s
    # What has no answer by then is answered while the connections are still open.
    assert listener.closed_at < forwarder.end_at < began_at + ended_after_s

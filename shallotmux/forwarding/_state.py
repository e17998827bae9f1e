"""One endpoint as this instance sees it: its entry in the list, the work there, its failures."""

from __future__ import annotations

import zlib
from collections import OrderedDict
from dataclasses import dataclass, field

import trio

from shallotmux.fleet import EngineRole, ListedEndpoint
from shallotmux.forwarding._headers import Headers
from shallotmux.placement import Prompt

#: Failures in a row after which an endpoint is avoided.
FAILURES_TO_AVOID = 3

#: First time for which an endpoint is avoided; it doubles up to the longest.
FIRST_AVOID_S = 1.0
LONGEST_AVOID_S = 8.0

#: Age at which a reported load counts half.
LOAD_HALF_LIFE_S = 0.5

#: Prefixes remembered of one engine.
MAX_PREFIXES = 512

#: Time for which an engine is believed to hold a prefix. One that reads prompts gets those of its
#: own prefixes only; one that generates gets all, and drops the oldest within seconds.
READER_MEMORY_S = 15.0
GENERATOR_MEMORY_S = 2.0

#: Time without any answer after which an endpoint gets no further request. It exceeds the time in
#: which an engine under load begins an answer.
SILENT_S = 1.2

#: Time for which an endpoint that refused a request without running it gets no further one. It is
#: full, or changes its role.
REFUSED_S = 0.4


@dataclass(frozen=True, slots=True)
class ReportedLoad:
    """Load that an endpoint told with an answer.

    :param others: running and waiting requests that are not of this instance.
    """

    others: float
    at: float


class OpenWork:
    """A request or a prompt under way at an endpoint.

    Within its context it counts towards what the endpoint has to do; its tokens do until the answer
    begins.
    """

    def __init__(self, state: EndpointState, unread_tokens: float) -> None:
        self._state = state
        self._unread_tokens = unread_tokens
        self.sent_at = trio.current_time()

    def __enter__(self) -> OpenWork:
        """Begin to count."""
        self._state.in_flight += 1
        self._state.unread_tokens += self._unread_tokens
        self._state.waiting.add(self)
        return self

    def __exit__(self, *_: object) -> None:
        """Count no more."""
        self._state.in_flight -= 1
        self._end_wait()

    def note_answered(self) -> None:
        """Take note that the answer has begun, so that the prompt is read."""
        self._state.answered_at = trio.current_time()
        self._end_wait()

    def _end_wait(self) -> None:
        if self in self._state.waiting:
            self._state.waiting.remove(self)
            self._state.unread_tokens -= self._unread_tokens


@dataclass(slots=True)
class EndpointState:
    """One endpoint."""

    listed: ListedEndpoint
    in_flight: int = 0
    #: Tokens that this instance's requests have yet to be read there.
    unread_tokens: float = 0.0
    load: ReportedLoad | None = None
    failures: int = 0
    avoided_until: float = float('-inf')
    avoid_s: float = FIRST_AVOID_S
    #: Prefixes that it read or fetched for this instance, with the local time, the newest last.
    prefixes: OrderedDict[bytes, float] = field(default_factory=OrderedDict)
    refused_until: float = float('-inf')
    #: Work that waits for its answer.
    waiting: set[OpenWork] = field(default_factory=set)
    answered_at: float = float('-inf')

    @property
    def identity(self) -> str:
        """Return the identity of the endpoint."""
        return self.listed.identity

    @property
    def may_answer(self) -> bool:
        """Return whether it answers requests, and does not only read their prompts."""
        return self.listed.role is not EngineRole.PREFILL

    @property
    def start_number(self) -> int:
        """Return a number that names this start of the endpoint in messages."""
        return zlib.crc32(f'{self.identity} {self.listed.started_ms}'.encode())

    def busy(self, now: float) -> float:
        """Return the requests that it is expected to have, this instance's included."""
        if self.load is None:
            return float(self.in_flight)
        age = max(0.0, now - self.load.at)
        return self.in_flight + self.load.others * 0.5 ** (age / LOAD_HALF_LIFE_S)

    def note_load(self, text: bytes | None, now: float) -> None:
        """Take note of running and waiting requests and slots, separated by commas, if told."""
        if text is None:
            return
        try:
            running, waiting, _ = (int(each) for each in text.split(b','))
        except ValueError:
            return
        others = max(0, running + waiting - self.in_flight)
        self.load = ReportedLoad(others, now)

    def note_prompt(self, prompt: Prompt) -> None:
        """Take note that it now holds the parts of a prompt."""
        now = trio.current_time()
        for part in prompt.parts:
            self.prefixes[part.prefix] = now
            self.prefixes.move_to_end(part.prefix)
        while len(self.prefixes) > MAX_PREFIXES:
            self.prefixes.popitem(last=False)

    def held(self, now: float) -> frozenset[bytes]:
        """Return the prefixes that it is believed to hold."""
        is_reader = self.listed.role is not EngineRole.DECODE
        oldest = now - (READER_MEMORY_S if is_reader else GENERATOR_MEMORY_S)
        return frozenset(prefix for prefix, at in self.prefixes.items() if at >= oldest)

    def is_silent(self, now: float) -> bool:
        """Return whether requests wait for long and none was answered since the oldest of them."""
        oldest = min((work.sent_at for work in self.waiting), default=now)
        return now - oldest > SILENT_S and self.answered_at < oldest

    def is_sound(self, now: float) -> bool:
        """Return whether nothing speaks against a further request."""
        is_left_alone = max(self.avoided_until, self.refused_until) > now
        return not is_left_alone and not self.is_silent(now)

    def note_refusal(self, now: float) -> None:
        """Take note that it did not run a request."""
        self.refused_until = now + REFUSED_S

    def note_success(self) -> None:
        """Take note of a proper answer."""
        self.failures = 0
        self.avoid_s = FIRST_AVOID_S

    def note_failure(self, now: float) -> bool:
        """Take note of a failure; returns whether the endpoint is avoided from now on."""
        self.failures += 1
        if self.failures < FAILURES_TO_AVOID:
            return False
        self.failures = 0
        self.avoided_until = now + self.avoid_s
        self.avoid_s = min(2 * self.avoid_s, LONGEST_AVOID_S)
        return True


@dataclass(frozen=True, slots=True)
class Target:
    """Where an attempt goes.

    :param extra: headers that the attempt carries.
    :param unread_tokens: tokens that the endpoint has to read before its answer begins.
    """

    state: EndpointState
    extra: Headers = ()
    unread_tokens: float = 0.0

"""Seeded load program: sheets, trade enquiries and orders of eight customers."""

from __future__ import annotations

from bisect import bisect
from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum
from itertools import accumulate
from random import Random

from shallotmux.measure._shapes import Shape

#: Shares of the customers in the requests; a few are large.
CUSTOMER_SHARES = (0.3, 0.22, 0.16, 0.08, 0.07, 0.06, 0.06, 0.05)

#: Engine seconds for a token, by which the prefill share of the work is defined.
PREFILL_S = 0.00005
DECODE_S = 0.0005

#: Sheets of each customer, and blocks in a sheet.
SHEETS = 48
SHEET_BLOCKS = (2, 5)
BLOCK_TOKENS = 2048

#: Mean tokens of a request: own part of the prompt, and answer.
SHEET_TAIL = 200
SHEET_OUTPUT = 150
ENQUIRY_PROMPT = 600
ENQUIRY_OUTPUT = 300

#: Share of enquiries that quote a catalogue of one block.
CATALOGUE_SHARE = 0.3

#: Orders per second for each language worker.
ORDERS_PER_WORKER = 0.5


class RequestKind(StrEnum):
    """What a caller asks for."""

    SHEET = 'sheet'
    ENQUIRY = 'enquiry'
    ORDER = 'order'


@dataclass(frozen=True, slots=True)
class TraceRequest:
    """A request of the trace."""

    time_s: float
    customer: str
    kind: RequestKind
    blocks: tuple[int, ...]
    prompt_tokens: int
    output_tokens: int

    @property
    def repeatable(self) -> bool:
        """Whether the request may run more than once."""
        return self.kind is not RequestKind.ORDER


def _mean_work(kind: RequestKind) -> tuple[float, float]:
    """Return prefill and decode seconds of the mean request, without cache."""
    if kind is RequestKind.SHEET:
        prompt = sum(SHEET_BLOCKS) / 2 * BLOCK_TOKENS + SHEET_TAIL
        return prompt * PREFILL_S, SHEET_OUTPUT * DECODE_S
    prompt = ENQUIRY_PROMPT + CATALOGUE_SHARE * BLOCK_TOKENS
    return prompt * PREFILL_S, ENQUIRY_OUTPUT * DECODE_S


def sheet_fraction(prefill_share: float) -> float:
    """Return the fraction of sheets among language requests for a prefill share of the work."""
    sheet_prefill, sheet_decode = _mean_work(RequestKind.SHEET)
    prefill, decode = _mean_work(RequestKind.ENQUIRY)
    excess = prefill_share * (prefill + decode) - prefill
    slope = (sheet_prefill - prefill) - prefill_share * (
        sheet_prefill + sheet_decode - prefill - decode
    )
    return min(1.0, max(0.0, excess / slope))


def mean_work(fraction: float) -> float:
    """Return the engine seconds of the mean request at a fraction of sheets, without cache."""
    return fraction * sum(_mean_work(RequestKind.SHEET)) + (1 - fraction) * sum(
        _mean_work(RequestKind.ENQUIRY)
    )


class LoadProgram:
    """Draws the requests of a trace.

    :param workers: language workers that the load is relative to.
    :param load: uncached work per second and worker at the shape's level 1.
    """

    def __init__(self, shape: Shape, workers: int, load: float, seed: int) -> None:
        self._shape = shape
        self._workers = workers
        self._load = load
        self._random = Random(seed)
        self._sheets = {
            customer: [self._draw_sheet() for _ in range(SHEETS)]
            for customer in range(len(CUSTOMER_SHARES))
        }
        self._catalogues = [self._random.getrandbits(64) for _ in CUSTOMER_SHARES]
        self._popularity = list(accumulate(1 / (rank + 1) for rank in range(SHEETS)))

    def requests(self) -> Iterator[TraceRequest]:
        """Yield the requests in the order of their times."""
        now = 0.0
        while True:
            fraction = sheet_fraction(self._shape.prefill_share(now))
            scale = self._shape.level(now) * self._workers
            language = self._load * scale / mean_work(fraction)
            orders = ORDERS_PER_WORKER * scale * self._load
            boost = self._shape.burst(now)
            weights = list(CUSTOMER_SHARES)
            weights[self._shape.burst_customer] *= boost
            rate = (language + orders) * sum(weights)
            now += self._random.expovariate(rate)
            if now >= self._shape.duration_s:
                return
            customer = self._pick(list(accumulate(weights)))
            order = self._random.random() < orders / (language + orders)
            yield self._draw(now, customer, fraction, order=order)

    def _draw(self, now: float, customer: int, fraction: float, *, order: bool) -> TraceRequest:
        name = f'customer-{customer}'
        if order:
            return TraceRequest(now, name, RequestKind.ORDER, (), self._around(800), 1)
        if self._random.random() < fraction:
            sheet = self._sheets[customer][self._pick(self._popularity)]
            prompt = len(sheet) * BLOCK_TOKENS + self._around(SHEET_TAIL)
            output = self._around(SHEET_OUTPUT)
            return TraceRequest(now, name, RequestKind.SHEET, sheet, prompt, output)
        quoted = self._random.random() < CATALOGUE_SHARE
        blocks = (self._catalogues[customer],) if quoted else ()
        prompt = len(blocks) * BLOCK_TOKENS + self._around(ENQUIRY_PROMPT)
        output = self._around(ENQUIRY_OUTPUT)
        return TraceRequest(now, name, RequestKind.ENQUIRY, blocks, prompt, output)

    def _draw_sheet(self) -> tuple[int, ...]:
        count = self._random.randint(*SHEET_BLOCKS)
        return tuple(self._random.getrandbits(64) for _ in range(count))

    def _pick(self, cumulated: list[float]) -> int:
        return bisect(cumulated, self._random.random() * cumulated[-1])

    def _around(self, mean: int) -> int:
        return max(8, round(self._random.gauss(mean, mean / 3)))

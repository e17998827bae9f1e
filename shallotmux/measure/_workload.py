"""Seeded load generator: pattern sheets, trade enquiries and orders of eight customers."""

from __future__ import annotations

from bisect import bisect
from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum
from itertools import accumulate
from random import Random

from shallotmux.measure._shapes import Shape

#: Share of each customer in the requests; a few customers dominate.
CUSTOMER_SHARES = (0.3, 0.22, 0.16, 0.08, 0.07, 0.06, 0.06, 0.05)

#: Engine seconds per prompt token and per output token, which define the prefill share of work.
PREFILL_S_PER_TOKEN = 0.00005
DECODE_S_PER_TOKEN = 0.0005

#: Sheets of each customer, and minimum and maximum blocks of a sheet.
SHEETS_PER_CUSTOMER = 48
SHEET_BLOCKS = (2, 5)
BLOCK_TOKENS = 2048

#: Mean tokens of a request: the part of the prompt after cacheable blocks, and the answer.
SHEET_TAIL_TOKENS = 200
SHEET_OUTPUT_TOKENS = 150
ENQUIRY_PROMPT_TOKENS = 600
ENQUIRY_OUTPUT_TOKENS = 300

#: Share of enquiries whose prompt starts with a catalogue of one block.
CATALOGUE_SHARE = 0.3

#: Orders per second for each language worker at load 1.
ORDERS_PER_S_PER_WORKER = 0.5


class RequestKind(StrEnum):
    """Kind of a request.

    Sheets have long shared prefixes, enquiries long answers, and orders must not be repeated.
    """

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


def _mean_work_s(kind: RequestKind) -> tuple[float, float]:
    """Return the mean prefill and decode seconds of a request without cache hits."""
    if kind is RequestKind.SHEET:
        prompt = sum(SHEET_BLOCKS) / 2 * BLOCK_TOKENS + SHEET_TAIL_TOKENS
        return prompt * PREFILL_S_PER_TOKEN, SHEET_OUTPUT_TOKENS * DECODE_S_PER_TOKEN
    prompt = ENQUIRY_PROMPT_TOKENS + CATALOGUE_SHARE * BLOCK_TOKENS
    return prompt * PREFILL_S_PER_TOKEN, ENQUIRY_OUTPUT_TOKENS * DECODE_S_PER_TOKEN


def sheet_fraction(prefill_share: float) -> float:
    """Return the fraction of sheets among language requests that yields a prefill share."""
    sheet_prefill, sheet_decode = _mean_work_s(RequestKind.SHEET)
    prefill, decode = _mean_work_s(RequestKind.ENQUIRY)
    excess = prefill_share * (prefill + decode) - prefill
    slope = (sheet_prefill - prefill) - prefill_share * (
        sheet_prefill + sheet_decode - prefill - decode
    )
    return min(1.0, max(0.0, excess / slope))


def mean_work_s(fraction: float) -> float:
    """Return the mean engine seconds of a request without cache hits, by fraction of sheets."""
    return fraction * sum(_mean_work_s(RequestKind.SHEET)) + (1 - fraction) * sum(
        _mean_work_s(RequestKind.ENQUIRY)
    )


class LoadGenerator:
    """Generates the requests of a trace.

    :param workers: number of language workers, to which the load is relative.
    :param load: uncached work in engine seconds per second and worker at level 1 of the shape.
    """

    def __init__(self, shape: Shape, workers: int, load: float, seed: int) -> None:
        self._shape = shape
        self._workers = workers
        self._load = load
        self._random = Random(seed)
        self._sheets = {
            customer: [self._draw_sheet() for _ in range(SHEETS_PER_CUSTOMER)]
            for customer in range(len(CUSTOMER_SHARES))
        }
        self._catalogues = [self._random.getrandbits(64) for _ in CUSTOMER_SHARES]
        self._popularity = list(accumulate(1 / (rank + 1) for rank in range(SHEETS_PER_CUSTOMER)))

    def requests(self) -> Iterator[TraceRequest]:
        """Yield the requests in the order of their times."""
        now = 0.0
        while True:
            fraction = sheet_fraction(self._shape.prefill_share(now))
            scale = self._shape.level(now) * self._workers
            language = self._load * scale / mean_work_s(fraction)
            orders = ORDERS_PER_S_PER_WORKER * scale * self._load
            burst_factor = self._shape.burst_factor(now)
            weights = list(CUSTOMER_SHARES)
            weights[self._shape.burst_customer] *= burst_factor
            rate = (language + orders) * sum(weights)
            now += self._random.expovariate(rate)
            if now >= self._shape.duration_s:
                return
            customer = self._draw_index(list(accumulate(weights)))
            order = self._random.random() < orders / (language + orders)
            yield self._draw_request(now, customer, fraction, order=order)

    def _draw_request(
        self, now: float, customer: int, fraction: float, *, order: bool
    ) -> TraceRequest:
        name = f'customer-{customer}'
        if order:
            return TraceRequest(now, name, RequestKind.ORDER, (), self._draw_token_count(800), 1)
        if self._random.random() < fraction:
            sheet = self._sheets[customer][self._draw_index(self._popularity)]
            prompt = len(sheet) * BLOCK_TOKENS + self._draw_token_count(SHEET_TAIL_TOKENS)
            output = self._draw_token_count(SHEET_OUTPUT_TOKENS)
            return TraceRequest(now, name, RequestKind.SHEET, sheet, prompt, output)
        quoted = self._random.random() < CATALOGUE_SHARE
        blocks = (self._catalogues[customer],) if quoted else ()
        prompt = len(blocks) * BLOCK_TOKENS + self._draw_token_count(ENQUIRY_PROMPT_TOKENS)
        output = self._draw_token_count(ENQUIRY_OUTPUT_TOKENS)
        return TraceRequest(now, name, RequestKind.ENQUIRY, blocks, prompt, output)

    def _draw_sheet(self) -> tuple[int, ...]:
        count = self._random.randint(*SHEET_BLOCKS)
        return tuple(self._random.getrandbits(64) for _ in range(count))

    def _draw_index(self, cumulative_weights: list[float]) -> int:
        return bisect(cumulative_weights, self._random.random() * cumulative_weights[-1])

    def _draw_token_count(self, mean: int) -> int:
        return max(8, round(self._random.gauss(mean, mean / 3)))

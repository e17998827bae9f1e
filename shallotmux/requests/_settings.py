"""Limits and times of the request path."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RequestSettings:
    """Limits and times of the request path; times are in seconds.

    :param request_deadline_s: longest time from receipt to the last byte.
    :param first_token_timeout_s: wait for the first event of an attempt.
    :param token_gap_timeout_s: wait between two events of an attempt.
    :param attempts: attempts of one request, planned moves not counted.
    :param retry_share: retries earned by each success.
    :param retry_floor: retries allowed without any success; refilled at one a second.
    :param breaker_failures: consecutive failures that open the breaker of an endpoint.
    :param breaker_open_s: first time for which a breaker stays open; doubles up to 16 times.
    :param outlier_factor: first-token time, relative to the pool's median, of an outlier.
    :param ejected_share: largest share of a pool that breakers may exclude.
    :param queue_limit: waiting requests for each customer and route.
    :param queue_wait_s: longest wait for an endpoint.
    :param first_token_limit_s: predicted first-token time beyond which a request is refused. Less
        than the target of 0.74 s, since the prediction is a mean.
    :param first_token_target_s: time after which a waiting request lets those in time go first.
    :param engine_slots: streams that count as a full engine.
    :param service_slots: calls that count as a full plain service.
    :param buffer_bytes: bytes held for a caller that reads slowly.
    :param stalled_caller_s: time with a full buffer after which the engine is cancelled.
    :param coalesce_s: time for which events are gathered into one write. Together with the time
        for which reads are gathered (``http.GATHER_S``) at most 5 ms.
    :param job_wait_s: wait of a repeat for the answer of a running job.
    :param job_deadline_s: longest run of a job; later its claim may be abandoned.
    :param retention_s: time for which a job is remembered.
    :param stored_answer_bytes: largest answer that is stored in full.
    :param answer_limit_bytes: largest answer of a plain service.
    :param quarantine_s: time for which a poison request is refused.
    :param trial_s: longest claim of the only run of a suspect request.
    :param trial_margin_tokens: tokens past the crash after which a suspect is cleared.
    :param crash_window_s: time in which the streams of a crashed engine break.
    :param move_margin_s: time before a drain's deadline at which streams are moved.
    :param poll_per_s: load reports fetched in a second.
    :param cache_poll_per_s: pages of cache events fetched in a second.
    :param report_age_limit_s: age beyond which a load report is ignored.
    """

    request_deadline_s: float = 300.0
    first_token_timeout_s: float = 5.0
    token_gap_timeout_s: float = 5.0
    attempts: int = 8
    backoff_s: float = 0.02
    backoff_limit_s: float = 1.0
    retry_share: float = 0.2
    retry_floor: float = 10.0
    breaker_failures: int = 3
    breaker_open_s: float = 1.0
    outlier_factor: float = 4.0
    ejected_share: float = 0.5
    queue_limit: int = 64
    queue_wait_s: float = 5.0
    first_token_limit_s: float = 0.5
    first_token_target_s: float = 0.74
    engine_slots: int = 64
    service_slots: int = 64
    buffer_bytes: int = 262_144
    stalled_caller_s: float = 10.0
    coalesce_s: float = 0.001
    job_wait_s: float = 5.0
    job_deadline_s: float = 60.0
    retention_s: float = 86_400.0
    stored_answer_bytes: int = 65_536
    answer_limit_bytes: int = 4_194_304
    quarantine_s: float = 600.0
    trial_s: float = 30.0
    trial_margin_tokens: int = 4
    crash_window_s: float = 0.02
    move_margin_s: float = 1.0
    poll_per_s: float = 20.0
    cache_poll_per_s: float = 5.0
    report_age_limit_s: float = 3.0

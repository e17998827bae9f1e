"""Settings of the request path."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RequestSettings:
    """Settings of the request path; times are in seconds.

    :param request_deadline_s: maximum time from receipt of a request to its last byte.
    :param first_token_timeout_s: timeout for the first event of an attempt.
    :param token_gap_timeout_s: timeout between two events of an attempt.
    :param attempts: maximum number of attempts of a request; planned moves do not count.
    :param backoff_s: upper bound of the delay before the first retry; doubles with each attempt.
    :param backoff_limit_s: maximum delay before a retry.
    :param retry_share: retries added to the retry budget by each success.
    :param retry_floor: retries allowed without any success; refilled at one per second.
    :param breaker_failures: consecutive failures that open the circuit breaker of an endpoint.
    :param breaker_open_s: initial open time of a breaker; doubles up to 16 times this value.
    :param outlier_factor: multiple of the pool's median first-token time that makes an outlier.
    :param ejected_share: maximum share of a pool that breakers may exclude.
    :param queue_limit: maximum number of waiting requests for each customer and route.
    :param queue_wait_s: maximum wait for an endpoint.
    :param first_token_limit_s: predicted first-token time above which a request is refused. Less
        than the target of 0.74 s, since the prediction is a mean.
    :param first_token_target_s: waiting time after which requests that can still be served within
        this time go first.
    :param engine_slots: concurrent streams at which an engine counts as full.
    :param service_slots: concurrent calls at which a plain service counts as full.
    :param buffer_bytes: maximum bytes buffered for a caller that reads slowly.
    :param stalled_caller_s: time with a full buffer after which the attempt is cancelled.
    :param coalesce_s: time for which events are coalesced into one write. Together with the time
        for which reads are coalesced (``http.COALESCE_INTERVAL_S``) at most 5 ms.
    :param job_wait_s: time for which a resend waits for the answer of a running job.
    :param job_deadline_s: maximum run time of a job, after which its claim may be abandoned.
    :param retention_s: time for which the record of a job is kept.
    :param stored_answer_bytes: maximum size of an answer that is stored in full.
    :param answer_limit_bytes: maximum size of an answer of a plain service.
    :param quarantine_s: time for which a poison request is refused.
    :param trial_s: maximum duration of the trial of a suspect request.
    :param trial_margin_tokens: tokens past the crash after which a suspect is cleared.
    :param crash_window_s: time within which all streams of a crashed engine break.
    :param move_margin_s: time before a drain's deadline at which streams are moved.
    :param poll_per_s: load reports fetched per second.
    :param cache_poll_per_s: pages of cache events fetched per second.
    :param report_age_limit_s: maximum age of a load report; older ones are ignored.
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

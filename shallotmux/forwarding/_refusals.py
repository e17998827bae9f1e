"""Error answers that the system itself sends to callers."""

from __future__ import annotations

from dataclasses import dataclass

from shallotmux.forwarding._headers import Headers
from shallotmux.forwarding._messages import Reply, send_response

#: Status of refusals that guarantee that a request did not run and will not.
NOT_RUN_STATUS = 503

#: Characters of a reason that are sent. It may quote what an endpoint sent, which may be long.
MAX_REASON_CHARS = 300


@dataclass(frozen=True, slots=True)
class Refusal:
    """An error answer that does not come from an endpoint.

    :param status: 408, 429 and 503 guarantee that the request did not run; 502 and 504 do not.
    :param reason: text of the body.
    :param retry_after_s: time after which the request may be retried; None to send no such header.
    """

    status: int
    reason: str
    retry_after_s: float | None = None

    @property
    def short_reason(self) -> str:
        """Return the reason as it is sent to callers and peers."""
        return self.reason[:MAX_REASON_CHARS]

    async def send(self, reply: Reply, retry_after_header: bytes) -> None:
        """Send the answer to the caller."""
        content = f'{self.short_reason}\n'.encode()
        headers: Headers = ((b'content-type', b'text/plain; charset=utf-8'),)
        if self.retry_after_s is not None:
            headers = (*headers, (retry_after_header, f'{self.retry_after_s:.2f}'.encode()))
        await send_response(reply, self.status, content, headers)


def refuse_not_run(reason: str, retry_after_s: float) -> Refusal:
    """Return a refusal that guarantees that the request did not run and will not."""
    return Refusal(NOT_RUN_STATUS, reason, retry_after_s)


def refuse_unknown(reason: str, *, is_late: bool) -> Refusal:
    """Return a refusal for a request that may have run.

    :param is_late: whether its deadline has passed.
    """
    return Refusal(504 if is_late else 502, reason)

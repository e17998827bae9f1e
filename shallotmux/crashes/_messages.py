"""Messages with which instances share what they know of crashes."""

from __future__ import annotations

import msgspec


class CrashReport(msgspec.Struct, frozen=True, array_like=True):
    """Crash of an endpoint, and a request or prompt part that ran there.

    :param subject: hash of the request, which is equal when it is sent again, or of the prompt part.
    :param endpoint: identifies one start of the endpoint: the number changes when it restarts.
    :param age_s: time since the crash.
    :param is_repeated: whether the request was sent after an earlier crash under the same subject.
    """

    subject: int
    endpoint: int
    age_s: float
    is_repeated: bool = False


class ServedReport(msgspec.Struct, frozen=True, array_like=True):
    """Subject of which one endpoint served a request after others had crashed.

    :param age_s: time since the request was served.
    """

    subject: int
    age_s: float


class AliveReport(msgspec.Struct, frozen=True, array_like=True):
    """Endpoint that answered after it had seemed to crash.

    :param age_s: time since the request that it answered was sent.
    """

    endpoint: int
    age_s: float


class CrashNews(msgspec.Struct, frozen=True, array_like=True):
    """What an instance learned of crashes after an earlier message to the same instance.

    :param source: number drawn by the sender at its start.
    :param number: position in the sender's history up to which the message goes.
    """

    source: int = 0
    number: int = 0
    crashes: tuple[CrashReport, ...] = ()
    served: tuple[ServedReport, ...] = ()
    alive: tuple[AliveReport, ...] = ()


class Position(msgspec.Struct, frozen=True, array_like=True):
    """Position in the history of an instance up to which its news was received.

    :param source: number that the instance drew at its start.
    """

    source: int = 0
    number: int = 0

"""Exception hierarchy of shallotmux."""

from __future__ import annotations

__all__ = (
    'AuthorityUnavailable',
    'CallerError',
    'CallerDisconnected',
    'DocumentInvalid',
    'EndpointError',
    'EndpointRefused',
    'LogFull',
    'MembershipRefused',
    'NotLeader',
    'OutcomeUnknown',
    'SettingsError',
    'ShallotmuxError',
    'StorageError',
)


class ShallotmuxError(Exception):
    """Base class of all errors raised by this package.

    :param message: description of the error that names the object concerned.
    :param step: step in which the error occurred, for example ``dispatch``.
    :param peer: instance, endpoint or caller on the other side, if any.
    """

    def __init__(self, message: str, *, step: str = '', peer: str = '') -> None:
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        """Return the message followed by the step and the peer."""
        context = ', '.join(
            f'{name}={text}' for name, text in (('step', self.step), ('peer', self.peer)) if text
        )
        return f'{self.message} ({context})' if context else self.message


class SettingsError(ShallotmuxError):
    """A settings file cannot be read or contains an invalid value."""


class AuthorityUnavailable(ShallotmuxError):
    """A command was definitely not committed, for lack of a leader or a quorum."""


class NotLeader(AuthorityUnavailable):
    """A replica that is not the leader was asked for an operation that requires the leader.

    :param leader: leader known to the replica, if any.
    """

    def __init__(self, message: str, *, step: str = '', leader: str | None = None) -> None:
        super().__init__(message, step=step, peer=leader or '')
        self.leader = leader


class LogFull(AuthorityUnavailable):
    """A command was refused because too many bytes of earlier ones are not committed."""


class MembershipRefused(ShallotmuxError):
    """A membership change or leadership transfer is currently not possible."""


class StorageError(ShallotmuxError):
    """A file in the data folder cannot be read or made durable; the store stops.

    :param size: number of bytes that were to be written, if a write failed.
    """

    def __init__(self, message: str, *, step: str = '', size: int = 0) -> None:
        super().__init__(message, step=step)
        self.size = size


class OutcomeUnknown(ShallotmuxError):
    """It is not known whether an operation took effect."""


class CallerDisconnected(ShallotmuxError):
    """The caller closed its connection before the answer was complete."""


class DocumentInvalid(ShallotmuxError):
    """A configuration document cannot be decoded or is invalid."""


class EndpointError(ShallotmuxError):
    """An endpoint failed after the request may have reached it."""


class EndpointRefused(EndpointError):
    """An endpoint definitely did not run the request."""


class CallerError(ShallotmuxError):
    """A request is refused because of what the caller sent.

    :param status: HTTP status code of the refusal.
    :param code: stable machine-readable code.
    :param param: field, parameter or header at fault, if any.
    """

    def __init__(self, message: str, *, status: int, code: str, param: str | None = None) -> None:
        super().__init__(message, step='receive')
        self.status = status
        self.code = code
        self.param = param

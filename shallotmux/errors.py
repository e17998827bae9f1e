"""The exception tree of shallotmux."""

from __future__ import annotations

__all__ = (
    'AuthorityUnavailable',
    'CallerError',
    'CallerDisconnected',
    'DocumentInvalid',
    'EndpointError',
    'EndpointRefused',
    'MembershipRefused',
    'NotLeader',
    'OutcomeUnknown',
    'SettingsError',
    'ShallotmuxError',
    'StorageError',
)


class ShallotmuxError(Exception):
    """Base of all errors raised by this package.

    :param message: what went wrong, naming the object at fault.
    :param step: the step at which the error arose, for example ``dispatch``.
    :param peer: the instance, endpoint or caller on the other side, if any.
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
    """A settings file cannot be read or holds a wrong value."""


class AuthorityUnavailable(ShallotmuxError):
    """A command was certainly not committed, for lack of a leader or a quorum."""


class NotLeader(AuthorityUnavailable):
    """A replica that does not lead was asked for something that only a leader can do.

    :param leader: the leader that the replica knows of, if any.
    """

    def __init__(self, message: str, *, step: str = '', leader: str | None = None) -> None:
        super().__init__(message, step=step, peer=leader or '')
        self.leader = leader


class MembershipRefused(ShallotmuxError):
    """A membership change or a leadership transfer is not possible now."""


class StorageError(ShallotmuxError):
    """A file of the data folder cannot be read or made durable; the store stops."""


class OutcomeUnknown(ShallotmuxError):
    """It is not known whether an operation took effect."""


class CallerDisconnected(ShallotmuxError):
    """The caller closed its connection before it had the whole answer."""


class DocumentInvalid(ShallotmuxError):
    """A configuration document cannot be read or breaks a rule."""


class EndpointError(ShallotmuxError):
    """An endpoint failed after the request may have reached it."""


class EndpointRefused(EndpointError):
    """An endpoint certainly did not run the request."""


class CallerError(ShallotmuxError):
    """A request is refused because of what the caller sent.

    :param status: HTTP status code of the refusal.
    :param code: stable machine-readable code.
    """

    def __init__(self, message: str, *, status: int, code: str, param: str | None = None) -> None:
        super().__init__(message, step='receive')
        self.status = status
        self.code = code
        self.param = param

"""Log errors that end a task or the process, with their type and place."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

from eliot import log_message

#: Errors of one group that are logged; a program has fewer tasks.
MAX_LOGGED_ERRORS = 16

#: Characters of an error's message in a log line. Some messages quote the content at fault.
MAX_MESSAGE_CHARACTERS = 500


@contextmanager
def log_fatal_errors() -> Iterator[None]:
    """Log each error that leaves the context, as it ends the process."""
    try:
        yield
    except Exception as error:
        log_errors('shallotmux:process-failed', error)
        raise


def log_errors(kind: str, error: BaseException, **fields: object) -> None:
    """Write a log line for an error, or one for each error of a group.

    :param kind: type of the log lines.
    :param fields: further fields of each line.
    """
    for each in _flatten(error)[:MAX_LOGGED_ERRORS]:
        log_message(
            message_type=kind,
            level='error',
            error_type=type(each).__qualname__,
            error=str(each)[:MAX_MESSAGE_CHARACTERS],
            place=_find_place(each),
            **fields,
        )


def _flatten(error: BaseException) -> list[BaseException]:
    """Return the errors in a group and in the groups that it contains."""
    if not isinstance(error, BaseExceptionGroup):
        return [error]
    return [found for each in error.exceptions for found in _flatten(each)]


def _find_place(error: BaseException) -> str:
    """Return file, line and function of the innermost frame; empty if there is none."""
    innermost = error.__traceback__
    if innermost is None:
        return ''
    while innermost.tb_next is not None:
        innermost = innermost.tb_next
    frame, line = innermost.tb_frame, innermost.tb_lineno
    return f'{frame.f_code.co_filename}:{line} {frame.f_code.co_qualname}'

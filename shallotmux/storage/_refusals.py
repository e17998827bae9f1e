"""Which storage errors mean that the disk refuses operations for now."""

from __future__ import annotations

import errno

from shallotmux.errors import StorageError

#: No room: disk, quota, or limit of the file size.
_NO_ROOM = (errno.ENOSPC, errno.EDQUOT, errno.EFBIG)

#: The device does not work; a file system is made read-only after such an error.
_NO_DEVICE = (errno.EIO, errno.EROFS, errno.ENXIO, errno.ENODEV, errno.ETIMEDOUT)

#: The system lacks memory or descriptors.
_NO_RESOURCES = (errno.ENOMEM, errno.ENOBUFS, errno.EMFILE, errno.ENFILE)

REFUSAL_ERRNOS = frozenset((*_NO_ROOM, *_NO_DEVICE, *_NO_RESOURCES))


def is_refusal(error: StorageError) -> bool:
    """Return whether the disk may accept the operation later, without a change of its files.

    All other errors need an operator: a damaged file, which has no system error; a folder that is
    missing, forbidden or used by another process; and errors of the program itself.
    """
    cause = error.__cause__
    return isinstance(cause, OSError) and cause.errno in REFUSAL_ERRNOS

"""Loopback networks that belong to one process of the tests."""

from __future__ import annotations

import os


def private_network(number: int) -> str:
    """Return the first three numbers of loopback addresses that no other process of tests uses.

    Programs under test listen on fixed ports, so two runs of the suite on one machine would
    otherwise take each other's addresses.

    :param number: distinguishes the tests of one process, from 1 to 254.
    """
    return f'127.{1 + os.getpid() % 253}.{number}'

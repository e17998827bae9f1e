"""Single HTTP requests, sent only while a guard allows it.

Does not import the HTTP server, which the programs of a deployment do without.
"""

from __future__ import annotations

from shallotmux.calls._guarded import GuardedSender, LeaseExpired, SendGuard
from shallotmux.calls._request import HttpRequest

__all__ = ('GuardedSender', 'HttpRequest', 'LeaseExpired', 'SendGuard')

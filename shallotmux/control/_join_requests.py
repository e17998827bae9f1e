"""Join requests of instances that are not members of the control group."""

from __future__ import annotations

from shallotmux.transport import instance_name

#: Time for which a join request is valid; instances send it again until they are members.
JOIN_REQUEST_TTL_S = 3.0


class JoinRequests:
    """Identities that ask to join, one for each instance: that on its disk."""

    def __init__(self) -> None:
        self._received_at: dict[str, float] = {}

    def record(self, identity: str, now: float) -> None:
        """Record a request, and forget those under identities that the disk no longer holds."""
        name = instance_name(identity)
        self._received_at = {
            each: at for each, at in self._received_at.items() if instance_name(each) != name
        }
        self._received_at[identity] = now

    def record_for_removed(self, identity: str, now: float) -> None:
        """Record a request in the name of a removed member, unless it asks under a new identity."""
        if instance_name(identity) not in map(instance_name, self._received_at):
            self._received_at[identity] = now

    def valid(self, now: float) -> frozenset[str]:
        """Return the identities with a valid request, and forget the others."""
        self._received_at = {
            each: at for each, at in self._received_at.items() if now - at < JOIN_REQUEST_TTL_S
        }
        return frozenset(self._received_at)

"""Which reported values each receiver has confirmed, so that only others are sent again."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from typing import Generic, TypeVar

Key = TypeVar('Key')
Value = TypeVar('Value')


@dataclass(slots=True)
class _Receiver(Generic[Key, Value]):
    """What one incarnation of a receiver has confirmed."""

    incarnation: int = 0
    confirmed: dict[Key, Value] = field(default_factory=dict)


class Confirmations(Generic[Key, Value]):
    """Values by key that receivers have confirmed.

    A receiver that has restarted names another incarnation and has nothing.
    """

    def __init__(self) -> None:
        self._receivers: dict[str, _Receiver[Key, Value]] = {}

    def select(self, receiver: str, values: Mapping[Key, Value]) -> dict[Key, Value]:
        """Return the values that a receiver has not confirmed."""
        known = self._receivers.get(receiver)
        if known is None:
            return dict(values)
        # Values that are no longer reported would fill the memory.
        known.confirmed = {key: each for key, each in known.confirmed.items() if key in values}
        return {key: each for key, each in values.items() if known.confirmed.get(key) != each}

    def record(self, receiver: str, incarnation: int, sent: Mapping[Key, Value]) -> None:
        """Record that a receiver took values.

        :param incarnation: incarnation of the receiver that took them; 0 if it names none, as an
            earlier build, so that it is sent everything each time.
        """
        if not incarnation:
            self._receivers.pop(receiver, None)
            return
        known = self._receivers.get(receiver)
        if known is None or known.incarnation != incarnation:
            self._receivers[receiver] = _Receiver(incarnation, dict(sent))
            return
        known.confirmed.update(sent)

    def keep(self, receivers: Collection[str]) -> None:
        """Forget all other receivers."""
        self._receivers = {
            name: known for name, known in self._receivers.items() if name in receivers
        }

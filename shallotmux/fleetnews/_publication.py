"""State that a control instance publishes, with the positions of its latest changes."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from hashlib import blake2b

from shallotmux.fleetnews._messages import StateChange, StateMark, encode_change

#: Number of the latest positions from which a difference can be sent. At two changes a second, this
#: covers two minutes.
MAX_POSITIONS = 256

#: Number of encoded answers that are kept for the present position. Whole states take about 30 KB each.
MAX_CACHED = 64

DIGEST_BYTES = 8
DIGEST_MODULUS = 1 << (8 * DIGEST_BYTES)


@dataclass(frozen=True, slots=True)
class _Change:
    """A change of the state.

    :param position: position after the change.
    :param digest: digest of the state before the change.
    :param keys: items that were added, changed or removed.
    """

    position: int
    digest: int
    keys: frozenset[str]


class Publication:
    """A state made of items by key, and what changed at its latest positions.

    :param epoch: random number of this incarnation, not 0.
    """

    def __init__(self, epoch: int) -> None:
        self._items: dict[str, bytes] = {}
        self._mark = StateMark(epoch, 0, 0)
        self._changes: deque[_Change] = deque(maxlen=MAX_POSITIONS)
        self._answers: dict[StateMark, bytes] = {}

    @property
    def mark(self) -> StateMark:
        """Return the mark of the present state."""
        return self._mark

    def update(self, items: Mapping[str, bytes]) -> bool:
        """Replace the state, and return whether it has changed.

        :param items: encoded values by key.
        """
        removed = self._items.keys() - items.keys()
        changed = {key for key, value in items.items() if self._items.get(key) != value}
        if not removed and not changed:
            return False
        digest = self._mark.digest
        for key in removed | changed:
            if key in self._items:
                digest -= _hash_item(key, self._items[key])
            if key in items:
                digest += _hash_item(key, items[key])
        position = self._mark.position + 1
        self._changes.append(_Change(position, self._mark.digest, frozenset(removed | changed)))
        self._items = dict(items)
        self._mark = StateMark(self._mark.epoch, position, digest % DIGEST_MODULUS)
        self._answers.clear()
        return True

    def encode_after(self, known: StateMark) -> bytes:
        """Return the encoded change from a state that a follower has to the present one.

        :param known: mark of any publication's state.
        """
        answer = self._answers.get(known)
        if answer is None:
            answer = encode_change(self.change_after(known))
            if len(self._answers) >= MAX_CACHED:
                self._answers.clear()
            self._answers[known] = answer
        return answer

    def change_after(self, known: StateMark) -> StateChange:
        """Return the change from a state that a follower has to the present one."""
        position = self._find(known)
        if position is None:
            return self._whole(known)
        keys: set[str] = set()
        for change in self._changes_after(position):
            keys |= change.keys
        if len(keys) >= max(1, len(self._items)):
            return self._whole(known)
        return StateChange(
            known,
            self._mark,
            changed=tuple((key, self._items[key]) for key in sorted(keys) if key in self._items),
            removed=tuple(key for key in sorted(keys) if key not in self._items),
            count=len(self._items),
        )

    def _whole(self, known: StateMark) -> StateChange:
        items = tuple(self._items.items())
        return StateChange(known, self._mark, is_whole=True, changed=items, count=len(items))

    def _find(self, known: StateMark) -> int | None:
        """Return the latest remembered position with a given state, or None.

        The digest alone identifies it, also for a mark of this epoch: a position that is equal by
        chance or by a fault is no sign of an equal state.
        """
        if not known.epoch:
            return None
        if known.digest == self._mark.digest:
            return self._mark.position
        for change in reversed(self._changes):
            if change.digest == known.digest:
                return change.position - 1
        return None

    def _changes_after(self, position: int) -> Iterator[_Change]:
        for change in reversed(self._changes):
            if change.position <= position:
                return
            yield change


def _hash_item(key: str, value: bytes) -> int:
    """Return the hash of an item; the length of the key separates it from the value."""
    name = key.encode()
    content = b'%d %b%b' % (len(name), name, value)
    return int.from_bytes(blake2b(content, digest_size=DIGEST_BYTES).digest(), 'big')

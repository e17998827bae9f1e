"""Encode registered data classes as MessagePack with a type tag."""

from __future__ import annotations

import dataclasses
from functools import cache
from typing import Any, get_type_hints

import msgspec

#: Key that marks a nested data class with its registered name.
TYPE_KEY = '$'


class TypeRegistry:
    """Maps type names on the wire and on disk to the data classes they stand for.

    Data classes may hold other registered data classes, so unions need no further description.
    """

    def __init__(self) -> None:
        self._types: dict[str, type[Any]] = {}

    def register(self, *types: type[Any]) -> None:
        """Make data classes known under their own names.

        :raises ValueError: if another type is registered under the same name.
        """
        for each in types:
            if self._types.setdefault(each.__name__, each) is not each:
                raise ValueError(f'type name {each.__name__!r} is registered twice')

    def encode(self, item: object) -> bytes:
        """Return the tagged MessagePack form of a registered data class.

        :raises KeyError: if the type of the item is not registered.
        """
        return msgspec.msgpack.encode(self._to_plain(item))

    def decode(self, payload: bytes) -> Any:
        """Return the data class that :meth:`encode` was given.

        :raises msgspec.ValidationError: if the payload does not fit its type.
        :raises KeyError: if its type is not registered.
        """
        return self._from_plain(msgspec.msgpack.decode(payload))

    def _to_plain(self, item: Any) -> Any:
        if dataclasses.is_dataclass(item):
            name = type(item).__name__
            if self._types[name] is not type(item):
                raise KeyError(name)
            fields = (each.name for each in dataclasses.fields(item))
            plain = {each: self._to_plain(getattr(item, each)) for each in fields}
            return {TYPE_KEY: name, **plain}
        if isinstance(item, (list, tuple)):
            return [self._to_plain(each) for each in item]
        if isinstance(item, dict):
            return {key: self._to_plain(each) for key, each in item.items()}
        return item

    def _from_plain(self, plain: Any) -> Any:
        if isinstance(plain, dict):
            name = plain.pop(TYPE_KEY, None)
            content = {key: self._from_plain(each) for key, each in plain.items()}
            return content if name is None else self._build(name, content)
        if isinstance(plain, list):
            return [self._from_plain(each) for each in plain]
        return plain

    def _build(self, name: str, content: dict[str, Any]) -> Any:
        target = self._types[name]
        if not any(_holds_data_class(each) for each in content.values()):
            return msgspec.convert(content, target)
        hints = _field_types(target)  # type: ignore[arg-type]
        return target(**{key: _convert_field(each, hints[key]) for key, each in content.items()})


@cache
def _field_types(target: type[Any]) -> dict[str, Any]:
    return get_type_hints(target)


def _convert_field(item: Any, hint: Any) -> Any:
    """Return a field's value; data classes are built already, and tuples arrive as lists."""
    if _holds_data_class(item):
        return tuple(item) if isinstance(item, list) else item
    return msgspec.convert(item, hint)


def _holds_data_class(item: object) -> bool:
    if isinstance(item, list):
        return any(_holds_data_class(each) for each in item)
    return dataclasses.is_dataclass(item)


#: Types that are replicated or stored.
registry = TypeRegistry()

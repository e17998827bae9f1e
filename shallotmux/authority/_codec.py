"""MessagePack encoding of registered data classes, tagged with their type."""

from __future__ import annotations

import dataclasses
from functools import cache
from typing import Any, get_args, get_type_hints

import msgspec

#: Key in an encoded data class that holds its registered type name.
TYPE_KEY = '$'


class TypeRegistry:
    """Maps type names on the wire and on disk to data classes.

    A field may hold another registered data class. Since that is tagged as well, fields with union
    types decode without further annotations.
    """

    def __init__(self) -> None:
        self._types: dict[str, type[Any]] = {}

    def register(self, *types: type[Any]) -> None:
        """Register data classes under their class names.

        :raises ValueError: if another type is registered under the same name.
        """
        for each in types:
            if self._types.setdefault(each.__name__, each) is not each:
                raise ValueError(f'type name {each.__name__!r} is registered twice')

    def encode(self, item: object) -> bytes:
        """Return the tagged MessagePack form of a registered data class.

        :raises KeyError: if the type of the item is not registered.
        """
        return msgspec.msgpack.encode(self._to_builtins(item))

    def decode(self, payload: bytes) -> Any:
        """Decode a payload written by :meth:`encode`.

        :raises msgspec.ValidationError: if the payload does not match the fields of its type.
        :raises KeyError: if its type is not registered.
        """
        return self._from_builtins(msgspec.msgpack.decode(payload))

    def _to_builtins(self, item: Any) -> Any:
        if dataclasses.is_dataclass(item):
            name = type(item).__name__
            if self._types[name] is not type(item):
                raise KeyError(name)
            fields = (each.name for each in dataclasses.fields(item))
            data = {each: self._to_builtins(getattr(item, each)) for each in fields}
            return {TYPE_KEY: name, **data}
        if isinstance(item, (list, tuple)):
            return [self._to_builtins(each) for each in item]
        if isinstance(item, dict):
            return {key: self._to_builtins(each) for key, each in item.items()}
        return item

    def _from_builtins(self, data: Any) -> Any:
        if isinstance(data, dict):
            name = data.pop(TYPE_KEY, None)
            content = {key: self._from_builtins(each) for key, each in data.items()}
            return content if name is None else self._build(name, content)
        if isinstance(data, list):
            return [self._from_builtins(each) for each in data]
        return data

    def _build(self, name: str, content: dict[str, Any]) -> Any:
        target = self._types[name]
        is_plain = not any(_contains_data_class(each) for each in content.values())
        if is_plain and _is_convertible(target):  # type: ignore[arg-type]
            return msgspec.convert(content, target)
        hints = _field_types(target)  # type: ignore[arg-type]
        return target(**{key: _convert_field(each, hints[key]) for key, each in content.items()})


@cache
def _is_convertible(target: type[Any]) -> bool:
    """Return whether msgspec supports all fields of a type; unions of data classes it does not."""
    try:
        msgspec.convert({}, target)
    except msgspec.ValidationError:
        return True
    except TypeError:
        return False
    return True


@cache
def _field_types(target: type[Any]) -> dict[str, Any]:
    return get_type_hints(target)


def _convert_field(item: Any, hint: Any) -> Any:
    """Convert a field value to its annotated type.

    Nested data classes have been decoded already; MessagePack returns tuples as lists. Fields that
    could hold data classes may be empty instead.
    """
    if _contains_data_class(item) or item is None:
        return tuple(item) if isinstance(item, list) else item
    if isinstance(item, list) and not item:
        return ()
    return msgspec.convert(item, hint)


def find_missing_field(item: Any) -> str | None:
    """Return the name of a field that is None and must not be, in a data class or one inside it."""
    if isinstance(item, (list, tuple)):
        return next((name for each in item if (name := find_missing_field(each))), None)
    if not dataclasses.is_dataclass(item):
        return None
    hints = _field_types(type(item))  # type: ignore[arg-type]
    for each in dataclasses.fields(item):
        content = getattr(item, each.name)
        if content is None and not _may_be_none(hints[each.name]):
            return each.name
        missing = find_missing_field(content)
        if missing:
            return missing
    return None


def _may_be_none(hint: Any) -> bool:
    return hint is None or hint is Any or type(None) in get_args(hint)


def _contains_data_class(item: object) -> bool:
    if isinstance(item, list):
        return any(_contains_data_class(each) for each in item)
    return dataclasses.is_dataclass(item)


#: Types of commands, results and snapshot parts.
registry = TypeRegistry()

"""Configuration objects as operators send and receive them."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping
from difflib import get_close_matches
from typing import Any, get_args, get_type_hints

import msgspec
from pydantic import TypeAdapter, ValidationError

from shallotmux.authority import ConfigItem, Versioned
from shallotmux.errors import CallerError
from shallotmux.operators._rules import check_item
from shallotmux.world import Customer, Defaults, EndpointPool, PolicyException, Route

#: Kinds of configuration objects and the data classes that validate them, in the order in which
#: they are applied, so that a route's pool exists before the route.
OBJECT_CLASSES: Mapping[str, type[Any]] = {
    'defaults': Defaults,
    'customer': Customer,
    'pool': EndpointPool,
    'route': Route,
    'exception': PolicyException,
}

_ADAPTERS: Mapping[str, TypeAdapter[Any]] = {
    kind: TypeAdapter(each) for kind, each in OBJECT_CLASSES.items()
}


@dataclasses.dataclass(frozen=True, slots=True)
class ObjectName:
    """Kind and name by which a configuration object is addressed."""

    kind: str
    name: str

    def __str__(self) -> str:
        """Return the form used in paths and messages."""
        return f'{self.kind}/{self.name}'


def parse_object(place: ObjectName, body: bytes) -> ConfigItem:
    """Return the object held by a request body.

    :raises CallerError: naming the field that is wrong and what is allowed.
    """
    try:
        plain = msgspec.json.decode(body)
    except (msgspec.DecodeError, RecursionError) as error:
        raise refuse_body(place, '', f'not valid JSON: {error}') from error
    return build_object(place, plain)


def build_object(place: ObjectName, plain: Any) -> ConfigItem:
    """Return the object with these fields; the name may be left out.

    :raises CallerError: naming the field that is wrong and what is allowed.
    """
    if not isinstance(plain, dict):
        raise refuse_body(place, '', 'a JSON object is expected')
    named = {'name': place.name, **plain}
    _check_keys(place, named, OBJECT_CLASSES[place.kind], '')
    try:
        item: ConfigItem = _ADAPTERS[place.kind].validate_python(named)
    except ValidationError as error:
        first = error.errors(include_input=False, include_url=False)[0]
        field = '.'.join(str(part) for part in first['loc'])
        raise refuse_body(place, field, first['msg']) from error
    if item.name != place.name:
        raise refuse_body(place, 'name', f'must be {place.name!r} as in the path')
    problems = tuple(check_item(item))
    if problems:
        raise refuse_body(place, *problems[0])
    return item


def describe_object(place: ObjectName, kept: Versioned) -> dict[str, Any]:
    """Return an object in the form that operators are shown."""
    return {
        'kind': place.kind,
        'name': place.name,
        'revision': kept.revision,
        'item': object_to_builtins(kept.item),
    }


def object_to_builtins(item: ConfigItem) -> dict[str, Any]:
    """Return the fields of an object as JSON types."""
    plain: dict[str, Any] = msgspec.json.decode(msgspec.json.encode(item))
    return plain


def refuse_body(place: ObjectName, field: str, problem: str) -> CallerError:
    """Return the refusal of an invalid object."""
    where = f'{place}: {field}' if field else str(place)
    return CallerError(f'{where}: {problem}', status=400, code='invalid_body', param=field or None)


def _check_keys(place: ObjectName, plain: Any, target: Any, where: str) -> None:
    """Refuse unknown keys, since a misspelt key would silently have no effect."""
    if isinstance(plain, list):
        for number, each in enumerate(plain):
            _check_keys(place, each, (get_args(target) or (None,))[0], f'{where}{number}.')
    if not isinstance(plain, dict) or not dataclasses.is_dataclass(target):
        return
    hints = get_type_hints(target)
    for key, each in plain.items():
        if key not in hints:
            close = get_close_matches(key, hints, n=1)
            hint = f'did you mean {close[0]!r}?' if close else f'allowed are {", ".join(hints)}'
            raise refuse_body(place, f'{where}{key}', f'unknown key; {hint}')
        _check_keys(place, each, hints[key], f'{where}{key}.')

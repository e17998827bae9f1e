"""Conversion and validation of configuration objects in the operator API."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping
from difflib import get_close_matches
from typing import Any, get_args, get_type_hints

import msgspec
from pydantic import TypeAdapter, ValidationError

from shallotmux.authority import ConfigItem, Versioned
from shallotmux.decoding import DECODE_ERRORS
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
    """Kind and name that identify a configuration object."""

    kind: str
    name: str

    def __str__(self) -> str:
        """Return ``KIND/NAME``, as used in paths and messages."""
        return f'{self.kind}/{self.name}'


def parse_object(object_name: ObjectName, body: bytes) -> ConfigItem:
    """Return the object encoded in a request body.

    :raises CallerError: if the body is invalid; the message names the field and what is allowed.
    """
    try:
        decoded = msgspec.json.decode(body)
    except DECODE_ERRORS as error:
        raise build_body_error(object_name, '', f'not valid JSON: {error}') from error
    return build_object(object_name, decoded)


def build_object(object_name: ObjectName, fields: Any) -> ConfigItem:
    """Return the object with the given fields; the name may be omitted.

    :raises CallerError: if a field is invalid; the message names it and what is allowed.
    """
    if not isinstance(fields, dict):
        raise build_body_error(object_name, '', 'a JSON object is expected')
    named_fields = {'name': object_name.name, **fields}
    _check_keys(object_name, named_fields, OBJECT_CLASSES[object_name.kind], '')
    try:
        item: ConfigItem = _ADAPTERS[object_name.kind].validate_python(named_fields)
    except ValidationError as error:
        first = error.errors(include_input=False, include_url=False)[0]
        field = '.'.join(str(part) for part in first['loc'])
        raise build_body_error(object_name, field, first['msg']) from error
    if item.name != object_name.name:
        raise build_body_error(object_name, 'name', f'must be {object_name.name!r} as in the path')
    problems = tuple(check_item(item))
    if problems:
        raise build_body_error(object_name, *problems[0])
    return item


def describe_object(object_name: ObjectName, versioned: Versioned) -> dict[str, Any]:
    """Return the JSON representation of an object in the operator API."""
    return {
        'kind': object_name.kind,
        'name': object_name.name,
        'revision': versioned.revision,
        'item': object_to_builtins(versioned.item),
    }


def object_to_builtins(item: ConfigItem) -> dict[str, Any]:
    """Return the fields of an object as JSON types."""
    fields: dict[str, Any] = msgspec.json.decode(msgspec.json.encode(item))
    return fields


def build_body_error(object_name: ObjectName, field: str, problem: str) -> CallerError:
    """Return the error for an invalid object."""
    location = f'{object_name}: {field}' if field else str(object_name)
    return CallerError(
        f'{location}: {problem}', status=400, code='invalid_body', param=field or None
    )


def _check_keys(object_name: ObjectName, content: Any, annotation: Any, prefix: str) -> None:
    """Reject unknown keys, since a misspelt key would silently have no effect."""
    if isinstance(content, list):
        for index, each in enumerate(content):
            _check_keys(
                object_name, each, (get_args(annotation) or (None,))[0], f'{prefix}{index}.'
            )
    if not isinstance(content, dict) or not dataclasses.is_dataclass(annotation):
        return
    hints = get_type_hints(annotation)
    for key, each in content.items():
        if key not in hints:
            close = get_close_matches(key, hints, n=1)
            hint = f'did you mean {close[0]!r}?' if close else f'allowed are {", ".join(hints)}'
            raise build_body_error(object_name, f'{prefix}{key}', f'unknown key; {hint}')
        _check_keys(object_name, each, hints[key], f'{prefix}{key}.')

"""Models that validate the request bodies of the caller protocol."""

from __future__ import annotations

from typing import Any, Literal

import msgspec
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from shallotmux.decoding import DECODE_ERRORS
from shallotmux.errors import CallerError

MAX_TOKENS = 131_072


class ChatMessage(BaseModel):
    """One message of a conversation."""

    model_config = ConfigDict(extra='allow')

    role: Literal['system', 'developer', 'user', 'assistant', 'tool']
    content: str | list[Any] | None = None


class ChatCompletionRequest(BaseModel):
    """Body of ``POST /v1/chat/completions``."""

    model_config = ConfigDict(extra='allow')

    model: str = Field(min_length=1, max_length=200)
    messages: list[ChatMessage] = Field(min_length=1, max_length=10_000)
    stream: bool = False
    max_tokens: int = Field(default=256, ge=1, le=MAX_TOKENS)
    service_tier: str | None = None


class CompletionRequest(BaseModel):
    """Body of ``POST /v1/completions``."""

    model_config = ConfigDict(extra='allow')

    model: str = Field(min_length=1, max_length=200)
    prompt: str
    stream: bool = False
    max_tokens: int = Field(default=256, ge=1, le=MAX_TOKENS)
    service_tier: str | None = None


def parse_chat(body: bytes) -> ChatCompletionRequest:
    """Validate the body of a chat completion request.

    :raises CallerError: if a field is invalid; the message names the field.
    """
    try:
        return ChatCompletionRequest.model_validate_json(body)
    except ValidationError as error:
        raise build_validation_error(error) from error


def parse_completion(body: bytes) -> CompletionRequest:
    """Validate the body of a text completion request.

    :raises CallerError: if a field is invalid; the message names the field.
    """
    try:
        return CompletionRequest.model_validate_json(body)
    except ValidationError as error:
        raise build_validation_error(error) from error


def decode_payload(body: bytes) -> dict[str, Any]:
    """Return all fields of a body that was validated, as they are sent to engines.

    :raises CallerError: if it cannot be decoded, for example for a number that is too large.
    """
    try:
        payload: dict[str, Any] = msgspec.json.decode(body)
    except DECODE_ERRORS as error:
        raise CallerError(f'body: {error}', status=400, code='invalid_body') from error
    return payload


def build_validation_error(error: ValidationError) -> CallerError:
    """Return the error for an invalid body; it does not quote the content of the body."""
    first = error.errors(include_input=False, include_url=False)[0]
    field_path = '.'.join(str(part) for part in first['loc'])
    return CallerError(
        f'{field_path or "body"}: {first["msg"]}',
        status=400,
        code='invalid_body',
        param=field_path or None,
    )

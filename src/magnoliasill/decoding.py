"""Decodes JSON and MessagePack that others wrote, whatever the bytes are."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypeVar, overload

import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_REASON_LENGTH = 200  # characters; the bytes may repeat in the reason
MAX_VALUE_LENGTH = 80
# Nesting ends the codec with RecursionError. The others come from numbers that are too long to
# convert and from text that is not UTF-8.
_CODEC_ERRORS = (msgspec.MsgspecError, RecursionError, OverflowError, ValueError)

Decoded = TypeVar("Decoded")


class DecodingError(ValueError):
    """The bytes are not what was expected; the message says why, in at most 200 characters."""


@overload
def decode_json(data: bytes | str, kind: type[Decoded]) -> Decoded: ...
@overload
def decode_json(data: bytes | str, kind: Any = Any) -> Any: ...
def decode_json(data: bytes | str, kind: Any = Any) -> Any:
    """Decode JSON into a type.

    Args:
        data: The JSON.
        kind: The type.

    Raises:
        DecodingError: If the data is no JSON, is nested too deeply or does not fit the type.
    """
    return _decode(msgspec.json.decode, data, kind)


@overload
def decode_msgpack(data: bytes, kind: type[Decoded]) -> Decoded: ...
@overload
def decode_msgpack(data: bytes, kind: Any = Any) -> Any: ...
def decode_msgpack(data: bytes, kind: Any = Any) -> Any:
    """Decode MessagePack into a type.

    Args:
        data: The MessagePack.
        kind: The type.

    Raises:
        DecodingError: If the data is no MessagePack, is nested too deeply or does not fit the type.
    """
    return _decode(msgspec.msgpack.decode, data, kind)


def _decode(decode: Callable[..., Any], data: bytes | str, kind: Any) -> Any:
    try:
        return decode(data, type=kind)
    except _CODEC_ERRORS as error:
        raise DecodingError(shorten(str(error), MAX_REASON_LENGTH)) from error


def describe_value(value: object) -> str:
    """Return a short text for a decoded value that is not valid; a list may be nested deeply."""
    if isinstance(value, dict | list):
        return f"a {type(value).__name__} of {len(value)}"
    try:
        return shorten(repr(value), MAX_VALUE_LENGTH)
    except ValueError:  # Python refuses to print an integer of some thousand digits
        return f"a long {type(value).__name__}"


def describe_error(error: Exception) -> str:
    """Return the type and the shortened message of an error that a decoded value led to."""
    return f"{type(error).__name__}: {shorten(str(error), MAX_REASON_LENGTH)}"


def shorten(text: str, limit: int) -> str:
    """Return a text, cut off at a number of characters if it is longer."""
    return text if len(text) <= limit else f"{text[: limit - 3]}..."

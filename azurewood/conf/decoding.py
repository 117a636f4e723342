"""Decoding of data that other processes have written.

Data that is nested very deeply raises ``RecursionError`` in a decoder, even
in a field that is not declared. No caller of a decoder expects that, so all
such data is decoded here, with one error for whatever is wrong with it.
"""

from collections import abc
import functools
import typing

import msgspec

from azurewood import exceptions

MAX_NUMBER: typing.Final = 1 << 53
"""Largest whole number taken, which every JSON and MessagePack codec holds."""

Natural = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
"""A whole number from 0 to ``MAX_NUMBER``."""
Integer = typing.Annotated[int, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
"""A whole number of either sign, bounded alike."""
Finite = typing.Annotated[float, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
"""A figure that need not be whole and can be rounded to a whole one."""

T = typing.TypeVar("T")


class MalformedData(exceptions.AzurewoodError, ValueError):
    """Data cannot be decoded; the text says why."""


def decode(decoder: abc.Callable[[bytes], T], data: bytes) -> T:
    """Return what ``decoder`` makes of ``data``.

    Raise ``MalformedData`` if it is malformed or nested too deeply.
    """
    try:
        return decoder(data)
    except msgspec.DecodeError as exc:
        raise MalformedData(str(exc)) from exc
    except RecursionError as exc:
        raise MalformedData("it is nested too deeply") from exc


def decode_json(data: bytes, kind: type[T]) -> T:
    """Return the value of a type in a JSON text.

    Raise ``MalformedData`` if it is malformed or nested too deeply.
    """
    return decode(_json_decoder(kind).decode, data)


@functools.cache
def _json_decoder(kind: type[T]) -> msgspec.json.Decoder[T]:
    return msgspec.json.Decoder(kind)

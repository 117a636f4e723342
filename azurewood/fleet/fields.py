"""Uniform access to the fields of data classes and msgspec structs."""

import collections.abc
import dataclasses
import typing

import msgspec


@dataclasses.dataclass(slots=True, kw_only=True)
class Field:
    """A field of a class.

    ``default`` returns a default value; it is None for a required field.
    """

    name: str
    default: collections.abc.Callable[[], typing.Any] | None


def fields(kind: typing.Any) -> collections.abc.Iterator[Field]:
    """Yield the fields of a data class or a ``msgspec.Struct`` class."""
    if dataclasses.is_dataclass(kind):
        absent = dataclasses.MISSING
        found = dataclasses.fields(kind)
    else:
        absent = msgspec.NODEFAULT
        found = msgspec.structs.fields(kind)
    for field in found:
        yield Field(name=field.name, default=_default(field, absent))


def is_object(kind: typing.Any) -> bool:
    """Return whether a class, or the class of a value, has such fields."""
    cls = kind if isinstance(kind, type) else type(kind)
    return dataclasses.is_dataclass(cls) or issubclass(cls, msgspec.Struct)


def _default(
    field: typing.Any, absent: object
) -> collections.abc.Callable[[], typing.Any] | None:
    if field.default_factory is not absent:
        return field.default_factory
    if field.default is not absent:
        return lambda: field.default
    return None

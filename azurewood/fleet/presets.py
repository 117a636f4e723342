"""Conversion of a preset between YAML text and object, and its editing."""

import copy
import typing

import yaml

from azurewood.checks import base
from azurewood.fleet import document
from azurewood.fleet import exceptions
from azurewood.fleet import model
from azurewood.fleet import nodes
from azurewood.fleet import reader

LIST_ITEM_KEY: typing.Final = "pool"


def load(text: str, source: str) -> model.Preset:
    """Return the preset that ``text`` describes.

    Raise InvalidDocument with all findings if any is an error. This does
    not check whether the pools of the preset exist.
    """
    root = nodes.compose(text, source)
    parser = reader.Reader(source=source)
    preset = parser.read(root, model.Preset, ())
    if preset is None or base.errors(parser.findings):
        raise exceptions.InvalidDocument(parser.findings)
    return preset


def dump(preset: model.Preset) -> str:
    """Return ``preset`` as YAML text that `load` reads as an equal preset."""
    return yaml.dump(
        document.plain(preset),
        Dumper=document.Dumper,
        default_flow_style=None,
        sort_keys=False,
        allow_unicode=True,
        width=78,
    )


def replace_value(
    preset: model.Preset, key: str, value: typing.Any
) -> model.Preset:
    """Return a copy of a preset with one value replaced.

    ``key`` is the dotted path of the value, such as ``moves.buffer``. An
    item of a list is named by its pool. Raise LookupError if the path does
    not exist, and InvalidDocument if the value is invalid.
    """
    plain = copy.deepcopy(document.plain(preset))
    *parents, last = key.split(".")
    place = plain
    for name in parents:
        place = _descend(place, name)
    if not isinstance(place, dict):
        raise LookupError(f"cannot set {last!r}: its parent is not a mapping")
    place[last] = value
    text = yaml.dump(plain, Dumper=document.Dumper, sort_keys=False)
    return load(text, key)


def _descend(place: typing.Any, name: str) -> typing.Any:
    """Return the value of a key, or the list item of the named pool."""
    match place:
        case dict():
            return place.setdefault(name, {})
        case list():
            for item in place:
                if item[LIST_ITEM_KEY] == name:
                    return item
    raise LookupError(f"no such key or pool: {name!r}")

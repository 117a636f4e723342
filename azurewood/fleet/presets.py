"""One preset as YAML text: reading, writing and changing single values."""

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

    Raises InvalidDocument with all findings. Whether its pools exist is
    not checked here.
    """
    root = nodes.compose(text, source)
    parser = reader.Reader(source=source)
    preset = parser.read(root, model.Preset, ())
    if preset is None or base.errors(parser.findings):
        raise exceptions.InvalidDocument(parser.findings)
    return preset


def dump(preset: model.Preset) -> str:
    """Return a text that `load` reads as an equal preset."""
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
    """Return a preset with one value changed.

    ``key`` names it by dots, such as ``moves.buffer``; an item of a list is
    named by its pool. Raises LookupError if there is no such place, and
    InvalidDocument if the value does not fit.
    """
    plain = copy.deepcopy(document.plain(preset))
    *parents, last = key.split(".")
    place = plain
    for name in parents:
        place = _descend(place, name)
    if not isinstance(place, dict):
        raise LookupError(f"{last!r} cannot be set in a list")
    place[last] = value
    text = yaml.dump(plain, Dumper=document.Dumper, sort_keys=False)
    return load(text, key)


def _descend(place: typing.Any, name: str) -> typing.Any:
    """Return what stands under a key, or in a list under a pool's name."""
    match place:
        case dict():
            return place.setdefault(name, {})
        case list():
            for item in place:
                if item[LIST_ITEM_KEY] == name:
                    return item
    raise LookupError(f"there is no {name!r}")

"""Reading of YAML nodes into data classes, with a finding for each error.

Keys, types, defaults and required fields come from the data classes.
Reading continues after an error, so that all errors are reported together:
a value that cannot be read is replaced by the default of its field, or by
None (an empty tuple for a list) if the field is required.
"""

from collections import abc
import difflib
import enum
import functools
import math
import types
import typing

import yaml

from azurewood.checks import base
from azurewood.fleet import draft
from azurewood.fleet import fields
from azurewood.fleet import groups
from azurewood.fleet import model

Path = draft.Path

TAG_PREFIX = "tag:yaml.org,2002:"
TYPE_NAMES: typing.Final = {
    str: "a text",
    int: "a whole number",
    float: "a number",
    bool: "true or false",
}
POLICY_KEY: typing.Final = "policy"
MAX_ITEMS: typing.Final = groups.MAX_HOSTS


@functools.cache
def _hints(kind: type) -> dict[str, typing.Any]:
    return typing.get_type_hints(kind)


class Reader:
    """Reads one document and collects ``findings`` and ``lines``.

    ``lines`` maps each path that was read to its line number (from 1).
    """

    def __init__(self, *, source: str) -> None:
        self.source = source
        self.findings: list[base.Finding] = []
        self.lines: dict[Path, int] = {}
        self._groups: dict[str, list[str]] = {}
        self._construct = yaml.constructor.SafeConstructor()

    def read(self, node: yaml.Node, kind: typing.Any, path: Path):
        """Return a node's value of type ``kind``, or None if it is invalid."""
        self.lines[path] = node.start_mark.line + 1
        if fields.is_object(kind):
            return self._read_object(node, kind, path)
        if typing.get_origin(kind) is tuple:
            return self._read_items(node, typing.get_args(kind)[0], path)
        if isinstance(kind, types.UnionType):
            return self._read_policy(node, path)
        if issubclass(kind, enum.Enum):
            return self._read_choice(node, kind)
        return self._read_scalar(node, kind)

    def _report(
        self, id: str, node: yaml.Node, message: str, hint: str = ""
    ) -> None:
        place = f"{self.source}:{node.start_mark.line + 1}"
        self.findings.append(
            base.Finding(id=id, message=message, place=place, hint=hint)
        )

    def _read_object(self, node: yaml.Node, kind: type, path: Path):
        values = self._entries(node, kind)
        return None if values is None else self._build(values, kind, path)

    def _entries(
        self, node: yaml.Node, kind: type, extra: tuple[str, ...] = ()
    ) -> dict[str, yaml.Node] | None:
        """Return the value nodes of a mapping by key.

        Unknown and duplicate keys are reported and left out. The mapping
        itself has the key ``""``.
        """
        if not isinstance(node, yaml.MappingNode):
            self._report(
                "azurewood.E013", node, f"expected keys of {_title(kind)}"
            )
            return None
        known = [field.name for field in fields.fields(kind)]
        known.extend(extra)
        entries: dict[str, yaml.Node] = {"": node}
        for key, value in node.value:
            name = key.value if isinstance(key, yaml.ScalarNode) else None
            if name not in known:
                self._report_unknown(key, name, known, kind)
            elif name in entries:
                message = f"duplicate key {name!r} in {_title(kind)}"
                self._report("azurewood.E012", key, message)
            else:
                entries[name] = value
        return entries

    def _report_unknown(self, node, name, known, kind) -> None:
        close = difflib.get_close_matches(name or "", known, n=1)
        hint = f"did you mean {close[0]!r}?" if close else ""
        message = f"unknown key {name!r} in {_title(kind)}"
        self._report(
            "azurewood.E011",
            node,
            message,
            hint or f"known keys: {', '.join(known)}",
        )

    def _build(self, entries: dict[str, yaml.Node], kind: type, path: Path):
        """Return an object of the data class ``kind``."""
        values = {}
        for field in fields.fields(kind):
            value = None
            if field.name in entries:
                hint = _hints(kind)[field.name]
                value = self.read(
                    entries[field.name], hint, (*path, field.name)
                )
            elif field.default is None:
                message = f"{_title(kind)} has no {field.name!r}"
                self._report("azurewood.E014", entries[""], message)
            if value is None and field.default is None:
                value = () if _is_tuple(_hints(kind)[field.name]) else None
                values[field.name] = value
            elif value is not None:
                values[field.name] = value
        return kind(**values)

    def _read_items(self, node: yaml.Node, kind: type, path: Path):
        if not isinstance(node, yaml.SequenceNode):
            self._report("azurewood.E013", node, "expected a list")
            return None
        if len(node.value) > MAX_ITEMS:
            message = f"the list has more than {MAX_ITEMS} items"
            self._report("azurewood.E016", node, message)
        items: list[typing.Any] = []
        for child in node.value[:MAX_ITEMS]:
            position = (*path, len(items))
            match kind:
                case model.Host if _has_key(child, "group"):
                    items.extend(self._read_group(child, path, len(items)))
                    continue
                case model.Pool:
                    item = self._read_pool(child, position)
                case _:
                    item = self.read(child, kind, position)
            if item is not None:
                items.append(item)
        return tuple(items)

    def _read_group(
        self, node: yaml.Node, path: Path, start: int
    ) -> abc.Iterator[model.Host]:
        """Yield the hosts of a group; ``start`` is the index of the first."""
        group = self.read(node, groups.HostGroup, (*path, start))
        if not 1 <= group.count <= groups.MAX_HOSTS - start:
            message = (
                f"count is below 1, or the document has more than "
                f"{groups.MAX_HOSTS} hosts in total"
            )
            self._report("azurewood.E016", node, message)
            return
        if bool(group.rack) == bool(group.racks):
            message = f"host group {group.group!r} needs 'rack' or 'racks'"
            self._report("azurewood.E014", node, message)
        try:
            hosts = list(groups.expand(group))
        except ValueError as exc:
            self._report("azurewood.E016", node, str(exc))
            return
        names = self._groups.setdefault(group.group, [])
        for index, host in enumerate(hosts, start):
            self.lines[(*path, index)] = node.start_mark.line + 1
            names.append(host.name)
            yield host

    def _read_pool(self, node: yaml.Node, path: Path) -> model.Pool | None:
        pool = self.read(node, groups.GroupedPool, path)
        if pool is None:
            return None
        hosts = list(pool.hosts)
        for index, name in enumerate(pool.groups):
            if name not in self._groups:
                self.findings.append(
                    base.Finding(
                        id="azurewood.E104",
                        message=f"pool {pool.name!r} names unknown host "
                        f"group {name!r}",
                        place=f"{self.source}:"
                        f"{self.lines[(*path, 'groups', index)]}",
                    )
                )
            hosts.extend(self._groups.get(name, ()))
        return model.Pool(name=pool.name, hosts=tuple(hosts), spare=pool.spare)

    def _read_policy(self, node: yaml.Node, path: Path):
        """Return a move policy; its key ``policy`` selects the class."""
        if not isinstance(node, yaml.MappingNode):
            message = f"expected a mapping with the key {POLICY_KEY!r}"
            self._report("azurewood.E013", node, message)
            return None
        name = next((v for k, v in node.value if k.value == POLICY_KEY), None)
        choices = ", ".join(model.MOVE_POLICIES)
        if name is None:
            message = f"the key {POLICY_KEY!r} is missing"
            self._report("azurewood.E014", node, message, f"one of {choices}")
            return None
        kind = model.MOVE_POLICIES.get(_text(name))
        if kind is None:
            message = f"unknown policy {_text(name)!r}"
            self._report("azurewood.E015", name, message, f"one of {choices}")
            return None
        entries = self._entries(node, kind, (POLICY_KEY,))
        return self._build(entries, kind, path)

    def _read_choice(self, node: yaml.Node, kind: type[enum.Enum]):
        try:
            return kind(_text(node))
        except ValueError:
            choices = ", ".join(str(choice.value) for choice in kind)
            message = f"unknown value {_text(node)!r}"
            self._report("azurewood.E015", node, message, f"one of {choices}")
            return None

    def _read_scalar(self, node: yaml.Node, kind: type):
        value = self._scalar(node)
        if kind is float and type(value) is int:
            value = float(value)
        if type(value) is not kind or not _is_finite(value):
            shown = _text(node)
            hint = ""
            if kind is str and shown and isinstance(node, yaml.ScalarNode):
                hint = f"quote it: {shown[:40]!r}"
            message = f"expected {TYPE_NAMES[kind]}, got {shown[:40]!r}"
            self._report("azurewood.E013", node, message, hint)
            return None
        return value

    def _scalar(self, node: yaml.Node):
        if not isinstance(node, yaml.ScalarNode):
            return None
        if node.tag.removeprefix(TAG_PREFIX) not in (
            "str",
            "int",
            "float",
            "bool",
        ):
            return None
        try:
            return self._construct.construct_object(node)
        except (ValueError, OverflowError, KeyError, yaml.YAMLError):
            return None


def _title(kind: type) -> str:
    match kind:
        case groups.HostGroup:
            return "host group"
        case groups.GroupedPool:
            return "pool"
    words = "".join(
        f" {char.lower()}" if char.isupper() else char
        for char in kind.__name__
    )
    return words.strip()


def _text(node: yaml.Node) -> str:
    if isinstance(node, yaml.ScalarNode):
        return node.value
    return "a list" if isinstance(node, yaml.SequenceNode) else "a mapping"


def _is_tuple(kind: typing.Any) -> bool:
    return typing.get_origin(kind) is tuple


def _is_finite(value: typing.Any) -> bool:
    return not isinstance(value, float) or math.isfinite(value)


def _has_key(node: yaml.Node, key: str) -> bool:
    return isinstance(node, yaml.MappingNode) and any(
        name.value == key for name, _ in node.value
    )

"""Parsing of YAML text, within size limits, into nodes with line numbers."""

from collections import abc
import typing

import yaml

from azurewood.checks import base
from azurewood.fleet import exceptions

MAX_BYTES: typing.Final = 4 * 1024 * 1024
MAX_DEPTH: typing.Final = 16
MAX_NODES: typing.Final = 300000

Loader = getattr(yaml, "CSafeLoader", yaml.SafeLoader)


def compose(text: str, source: str) -> yaml.Node:
    """Return the root node of the one document in ``text``.

    Raise InvalidDocument for aliases, for nesting deeper than ``MAX_DEPTH``,
    for more than ``MAX_NODES`` nodes and for texts longer than
    ``MAX_BYTES``. These limits are checked before any node is built, to
    bound the memory and time that a hostile text can use.
    """
    findings = list(_check_text(text, source))
    if findings:
        raise exceptions.InvalidDocument(findings)
    root = yaml.compose(text, Loader=Loader)
    if root is None or _is_null(root):
        message = "the document is empty"
        raise _refusal("azurewood.E002", message, source, 1)
    return root


def _check_text(text: str, source: str) -> abc.Iterator[base.Finding]:
    try:
        size = len(text.encode())
        if size > MAX_BYTES:
            yield _finding(
                "azurewood.E003",
                f"the document has {size} bytes, the limit is {MAX_BYTES}",
                source,
                1,
            )
            return
        yield from _check_events(yaml.parse(text, Loader=Loader), source)
    except yaml.YAMLError as exc:
        mark = getattr(exc, "problem_mark", None)
        line = mark.line + 1 if mark else 1
        problem = getattr(exc, "problem", None) or str(exc).splitlines()[0]
        yield _finding("azurewood.E001", f"not YAML: {problem}", source, line)
    except UnicodeError:
        yield _finding("azurewood.E001", "not YAML: not Unicode", source, 1)


def _check_events(
    events: abc.Iterable[yaml.Event], source: str
) -> abc.Iterator[base.Finding]:
    depth = documents = values = 0
    for event in events:
        line = event.start_mark.line + 1
        values += isinstance(event, yaml.NodeEvent)
        match event:
            case yaml.AliasEvent():
                message = "aliases are not allowed"
                yield _finding("azurewood.E004", message, source, line)
                return
            case yaml.DocumentStartEvent():
                documents += 1
            case yaml.CollectionStartEvent():
                depth += 1
            case yaml.CollectionEndEvent():
                depth -= 1
        if depth > MAX_DEPTH:
            message = f"nested more than {MAX_DEPTH} levels deep"
            yield _finding("azurewood.E005", message, source, line)
            return
        if values > MAX_NODES:
            message = f"more than {MAX_NODES} keys and values"
            yield _finding("azurewood.E007", message, source, line)
            return
        if documents > 1:
            message = "more than one document in the text"
            yield _finding("azurewood.E006", message, source, line)
            return


def _is_null(node: yaml.Node) -> bool:
    return node.tag == "tag:yaml.org,2002:null"


def _finding(id: str, message: str, source: str, line: int) -> base.Finding:
    return base.Finding(id=id, message=message, place=f"{source}:{line}")


def _refusal(
    id: str, message: str, source: str, line: int
) -> exceptions.InvalidDocument:
    found = _finding(id, message, source, line)
    return exceptions.InvalidDocument([found])

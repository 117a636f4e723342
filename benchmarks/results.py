"""Store benchmark results as JSON and render them as Markdown tables."""

import collections.abc
import dataclasses
import pathlib
import platform
import typing

import msgspec

DIRECTORY = pathlib.Path(__file__).parent / "results"


class RecordedRun(msgspec.Struct, kw_only=True):
    """A stored benchmark run: command, Python version and result rows."""

    name: str
    command: str
    python: str
    rows: list[dict[str, typing.Any]]


def save(
    name: str, command: str, rows: collections.abc.Sequence[typing.Any]
) -> pathlib.Path:
    """Write the rows of a run to a JSON file and return its path."""
    recorded = RecordedRun(
        name=name,
        command=command,
        python=platform.python_version(),
        rows=[dataclasses.asdict(row) for row in rows],
    )
    DIRECTORY.mkdir(exist_ok=True)
    path = DIRECTORY / f"{name}.json"
    data = msgspec.json.format(msgspec.json.encode(recorded), indent=1)
    path.write_bytes(data + b"\n")
    return path


def load(name: str) -> RecordedRun:
    """Read a stored run; raise ``OSError`` if there is none."""
    path = DIRECTORY / f"{name}.json"
    return msgspec.json.decode(path.read_bytes(), type=RecordedRun)


def table(rows: collections.abc.Sequence[typing.Any]) -> str:
    """Return rows of a dataclass as a Markdown table."""
    return render([dataclasses.asdict(row) for row in rows])


def render(rows: collections.abc.Sequence[dict[str, typing.Any]]) -> str:
    """Return rows as a Markdown table with one column per key."""
    if not rows:
        return ""
    names = list(rows[0])
    lines = [
        "| " + " | ".join(name.replace("_", " ") for name in names) + " |",
        "|" + " --- |" * len(names),
    ]
    lines.extend(
        "| " + " | ".join(_cell(row[name]) for name in names) + " |"
        for row in rows
    )
    return "\n".join(lines)


def _cell(value: typing.Any) -> str:
    match value:
        case bool():
            return "yes" if value else "no"
        case float():
            return f"{value:.3g}"
        case _:
            return str(value)

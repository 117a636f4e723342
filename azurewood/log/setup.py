"""Structured logging with loguru: one line per record, as JSON or text.

Modules log with ``from loguru import logger``. Keyword arguments of a log
call and values set by ``logger.bind`` or `request` become fields of the line.
"""

from collections import abc
import contextlib
import sys
import traceback
import typing

from loguru import logger
import msgspec

from azurewood.log import bounded

HIDDEN: typing.Final = "[hidden]"
MIN_SECRET_CHARACTERS: typing.Final = 4
ESCAPES: typing.Final = {
    code: f"\\x{code:02x}" for code in (*range(32), *range(127, 160))
}


def configure(
    *,
    level: str,
    format: str,
    zone: str,
    daemon: str,
    secrets: abc.Iterable[str] = (),
    stream: typing.TextIO | None = None,
    writer: bounded.BoundedWriter | None = None,
    observe: abc.Callable[[dict[str, typing.Any]], None] | None = None,
) -> None:
    """Send all logs to ``stream``, by default the standard error stream.

    ``format`` is ``json`` or ``text``. Occurrences of ``secrets`` are
    replaced in every line, except for secrets that are shorter than
    ``MIN_SECRET_CHARACTERS``. Tracebacks do not show the values of
    variables. If ``writer`` is given, lines go to it instead of ``stream``,
    so that logging never blocks. ``observe`` is called with the fields of
    each line.
    """
    hidden = tuple(
        text for text in secrets if len(text) >= MIN_SECRET_CHARACTERS
    )
    render = _render_json if format == "json" else _render_text
    target = sys.stderr if stream is None else stream

    def write(message: typing.Any) -> None:
        fields = _hide(_fields(message.record), hidden)
        if observe is not None:
            observe(fields)
        if writer is not None:
            kind = str(fields.get("event", fields["logger"]))
            writer.offer(kind, render(fields) + "\n")
            return
        target.write(render(fields) + "\n")
        target.flush()

    # enqueue=True would create a multiprocessing queue.
    handler = {
        "sink": write,
        "level": level.upper(),
        "format": "{message}",
        "backtrace": False,
        "diagnose": False,
        "enqueue": False,
    }
    logger.configure(
        handlers=[handler], extra={"zone": zone, "daemon": daemon}
    )


def request(request_id: str) -> contextlib.AbstractContextManager[None]:
    """Return a context manager that adds a request's id to each line."""
    return logger.contextualize(request_id=request_id)


def _fields(record: typing.Any) -> dict[str, typing.Any]:
    fields = {
        "time": record["time"].isoformat(timespec="milliseconds"),
        "level": record["level"].name.lower(),
        "logger": record["name"],
    }
    for key, value in record["extra"].items():
        fields.setdefault(key, value)
    fields["message"] = record["message"]
    if record["exception"] is not None:
        lines = traceback.format_exception(*record["exception"])
        fields["exception"] = "".join(lines)
    return fields


def _hide(
    fields: dict[str, typing.Any], secrets: tuple[str, ...]
) -> dict[str, typing.Any]:
    """Convert fields to plain values and replace secrets in them."""
    return {key: _plain(value, secrets) for key, value in fields.items()}


def _plain(value: typing.Any, secrets: tuple[str, ...]) -> typing.Any:
    if value is None or isinstance(value, bool | int | float):
        return value
    text = str(value)
    for secret in secrets:
        text = text.replace(secret, HIDDEN)
    return text


def _render_json(fields: dict[str, typing.Any]) -> str:
    return msgspec.json.encode(fields).decode()


def _render_text(fields: dict[str, typing.Any]) -> str:
    """Return a line of text in which control characters are escaped.

    A value from outside could otherwise forge a line of its own.
    """
    fields = dict(fields)
    head = [str(fields.pop(key)) for key in ("time", "level", "message")]
    tail = [f"{key}={value}" for key, value in fields.items()]
    return " ".join([*head, *tail]).translate(ESCAPES)

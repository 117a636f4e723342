"""Settings as command-line flags of a click command."""

from collections import abc
import functools
import os
import typing

import click

from azurewood.conf import base
from azurewood.conf import exceptions
from azurewood.conf import kinds

EXIT_INVALID: typing.Final = 2


def options(cls: type) -> abc.Callable[[abc.Callable], abc.Callable]:
    """Return a decorator that adds the flags of ``cls`` to a command.

    ``cls`` is a settings class. The command is called with the keyword
    argument ``settings``, a `base.LazySettings`. If the settings are found
    to be invalid, the command prints all findings and exits with code 2.
    """
    items = list(base.declared(cls))

    def decorate(func: abc.Callable) -> abc.Callable:
        @functools.wraps(func)
        def command(*args, **kwargs):
            flags = {item.name: kwargs.pop(item.name) for item in items}
            settings = base.LazySettings(
                cls=cls, flags=flags, environ=os.environ
            )
            try:
                return func(*args, settings=settings, **kwargs)
            except exceptions.InvalidSettings as exc:
                click.echo(str(exc), err=True)
                raise SystemExit(EXIT_INVALID) from exc

        for item in reversed(items):
            command = _option(item)(command)
        return command

    return decorate


def _option(item: base.Setting) -> abc.Callable:
    return click.option(
        item.flag,
        item.name,
        metavar=kinds.metavar(item.kind),
        help=f"{item.help} [{_default(item)}; {item.variable}]",
    )


def _default(item: base.Setting) -> str:
    if item.default is None:
        return "required"
    unit = f" {item.unit}" if item.unit else ""
    return f"default: {item.default or 'none'}{unit}"

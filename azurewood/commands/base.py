"""Options, error handling and output shared by operators' commands."""

from collections import abc
import contextlib
import dataclasses
import enum
import functools
import getpass
import os
import re
import typing

import click

from azurewood.checks import exceptions as checks_exceptions
from azurewood.commands import exceptions
from azurewood.operators import client as clients
from azurewood.operators import exceptions as operators_exceptions
from azurewood.operators import messages

ExitCode = exceptions.ExitCode
TOKEN_VARIABLE: typing.Final = "AZUREWOOD_OPERATORS_TOKEN"
DEFAULT_DAEMON: typing.Final = "http://127.0.0.1:8081"
MIN_PROPOSAL_TIMEOUT_S: typing.Final = 0.1
UNPROCESSABLE: typing.Final = 422
UNSAFE: typing.Final = re.compile(r"[^A-Za-z0-9_.-]")
MAX_OPERATOR_CHARACTERS: typing.Final = 40


class Output(enum.StrEnum):
    """Format in which a command prints its result."""

    TABLE = "table"
    JSON = "json"


@dataclasses.dataclass(slots=True, kw_only=True)
class Session:
    """The client and the output format of one command.

    ``timeout_s`` is how long a daemon tries to have a change accepted.
    """

    client: clients.OperatorsClient
    output: Output
    timeout_s: float

    @property
    def is_json(self) -> bool:
        """Whether the result is printed as JSON."""
        return self.output is Output.JSON


def output_option(func: abc.Callable) -> abc.Callable:
    """Add the option ``--output`` to a command."""
    return click.option(
        "--output",
        type=click.Choice([item.value for item in Output]),
        default=Output.TABLE.value,
        show_default=True,
        help="Form of the result.",
    )(func)


def with_session(func: abc.Callable) -> abc.Callable:
    """Add the daemons' options to a command and pass it a ``session``."""

    @functools.wraps(func)
    def command(
        daemon, operator, ca_certificate, proposal_timeout_s, output, **kwargs
    ):
        session = Session(
            client=clients.OperatorsClient(
                daemons=daemon,
                token=_token(),
                operator=_ticket_safe(operator or getpass.getuser()),
                ca_certificate=ca_certificate,
            ),
            output=Output(output),
            timeout_s=proposal_timeout_s,
        )
        with convert_errors():
            return func(session=session, **kwargs)

    for option in (
        output_option,
        click.option(
            "--proposal-timeout-s",
            type=click.FloatRange(
                MIN_PROPOSAL_TIMEOUT_S, messages.PROPOSAL_TIMEOUT_S
            ),
            default=messages.PROPOSAL_TIMEOUT_S,
            show_default=True,
            help="How long a daemon tries to have a change accepted.",
        ),
        click.option(
            "--ca-certificate",
            envvar="AZUREWOOD_CA_CERTIFICATE",
            default="",
            metavar="FILE",
            help="Certificate that signed the daemons' TLS certificates.",
        ),
        click.option(
            "--operator",
            envvar="AZUREWOOD_OPERATOR",
            default="",
            metavar="NAME",
            help="Who proposes; the user's name by default.",
        ),
        click.option(
            "--daemon",
            envvar="AZUREWOOD_DAEMONS",
            multiple=True,
            default=(DEFAULT_DAEMON,),
            show_default=True,
            metavar="URL",
            help="Operators' interface of a daemon; several are tried in"
            " turn. [AZUREWOOD_DAEMONS, separated by spaces]",
        ),
    ):
        command = option(command)
    return command


def _token() -> str:
    """Return the operators' token from the environment.

    There is no flag, since other users can see a process's flags.
    """
    token = os.environ.get(TOKEN_VARIABLE, "")
    if not token:
        raise click.UsageError(f"the variable {TOKEN_VARIABLE} is not set")
    return token


def _ticket_safe(operator: str) -> str:
    """Return an operator's name with only characters valid in tickets."""
    text = UNSAFE.sub("-", operator)[:MAX_OPERATOR_CHARACTERS]
    return text if text[:1].isalnum() else f"o{text}"


@contextlib.contextmanager
def convert_errors() -> abc.Iterator[None]:
    """Convert azurewood's exceptions to ``CommandError`` with exit codes."""
    try:
        yield
    except checks_exceptions.InvalidInput as exc:
        raise exceptions.CommandError(
            str(exc), code=ExitCode.FINDINGS
        ) from exc
    except operators_exceptions.RequestRefused as exc:
        has_findings = exc.status == UNPROCESSABLE
        code = ExitCode.FINDINGS if has_findings else ExitCode.FAILED
        raise exceptions.CommandError(str(exc), code=code) from exc
    except operators_exceptions.OperatorsError as exc:
        raise exceptions.CommandError(str(exc), code=ExitCode.FAILED) from exc


def help_of(summary: str, *examples: str) -> str:
    """Return the help text of a command, with examples."""
    lines = "\n".join(f"  {example}" for example in examples)
    word = "Example" if len(examples) == 1 else "Examples"
    return f"{summary}\n\n\b\n{word}:\n{lines}"

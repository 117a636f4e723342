"""Exit codes of the command line, and the exception that sets them."""

import enum
import typing

import click


class ExitCode(enum.IntEnum):
    """Exit code of a command."""

    OK = 0
    FAILED = 1
    FINDINGS = 2
    REJECTED = 3
    NOT_ACCEPTED = 4
    UNKNOWN = 5


MEANINGS: typing.Final[dict[ExitCode, str]] = {
    ExitCode.OK: "done",
    ExitCode.FAILED: (
        "failed: no daemon answered, the daemon refused the token, or a wait"
        " ended before its condition held"
    ),
    ExitCode.FINDINGS: "wrong usage, or findings in what was given",
    ExitCode.REJECTED: (
        "rejected: the agreed state does not allow the change, or has"
        " changed since the revision it was based on (conflict)"
    ),
    ExitCode.NOT_ACCEPTED: "not accepted: the change was never recorded",
    ExitCode.UNKNOWN: (
        "unknown: the change may have been accepted; ask by the printed id"
    ),
}


class CommandError(click.ClickException):
    """A command failed with one of the documented exit codes."""

    def __init__(self, message: str, *, code: ExitCode) -> None:
        super().__init__(message)
        self.exit_code = int(code)

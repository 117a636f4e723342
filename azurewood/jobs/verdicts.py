"""The answers of the job service to callers' requests."""

import dataclasses
import typing

from azurewood.jobs import model

RETRY_AFTER_S: typing.Final = 1
"""Seconds after which a caller may ask again, unless the verdict says more."""


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Taken:
    """The request is stored.

    ``offset`` is that of the append that stored it, -1 if it was known from
    reading.
    """

    offset: int = dataclasses.field(default=-1, compare=False)


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class NotThere:
    """No such job exists."""


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Refused:
    """The request is not stored and never will be.

    ``busy`` is whether too many jobs are the reason. ``details`` are further
    fields of the log line.
    """

    reason: str
    retry_after_s: int = RETRY_AFTER_S
    busy: bool = False
    details: dict[str, typing.Any] = dataclasses.field(
        default_factory=dict, compare=False
    )


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class OutcomeUnknown:
    """The request may be stored already, or may be stored later."""

    reason: str


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class JobStatus:
    """The phase of a job that this daemon knows."""

    phase: model.Phase


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class StatusUnknown:
    """This daemon cannot say whether the job exists."""

    retry_after_s: int = RETRY_AFTER_S


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class TooLarge:
    """The job's record is larger than the store takes; it never runs."""

    reason: str


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class IdInUse:
    """The id is that of a job that the caller's account may not see."""


Verdict = Taken | NotThere | Refused | TooLarge | IdInUse | OutcomeUnknown


def details(verdict: Verdict) -> dict[str, typing.Any]:
    """Return the fields that a verdict adds to a job's line."""
    match verdict:
        case Taken(offset=offset):
            return {"offset": offset}
        case (
            Refused(reason=reason)
            | TooLarge(reason=reason)
            | OutcomeUnknown(reason=reason)
        ):
            return {"reason": reason}
    return {}

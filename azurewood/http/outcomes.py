"""Answers to callers, each of which says whether the request ran.

Every answer has the header ``Azurewood-Outcome``: ``ran`` (an endpoint
answered the request completely), ``not-run`` (no endpoint processed it) or
``unknown`` (it may have run).
"""

import dataclasses

import msgspec
from werkzeug import http as werkzeug_http

from azurewood.http import endpoints
from azurewood.state import effects

OUTCOME_HEADER = "Azurewood-Outcome"
REQUEST_ID_HEADER = "Azurewood-Request-Id"
RAN = "ran"
NOT_RUN = "not-run"
UNKNOWN = "unknown"
DROPPED_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "keep-alive",
        "transfer-encoding",
        "azurewood-outcome",
        "azurewood-request-id",
    }
)

_STATUS_OF_REFUSAL = {
    effects.Refusal.UNKNOWN_SERVICE: 404,
    effects.Refusal.KEY_REQUIRED: 428,
    effects.Refusal.KEY_REUSED: 422,
    effects.Refusal.TOO_LATE: 504,
}


@dataclasses.dataclass(slots=True, kw_only=True)
class CallerAnswer:
    """A complete answer to a caller."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes

    @property
    def status_line(self) -> str:
        """Return the status with its standard phrase."""
        phrase = werkzeug_http.HTTP_STATUS_CODES.get(self.status, "Unknown")
        return f"{self.status} {phrase}"


class ErrorBody(msgspec.Struct, kw_only=True):
    """The JSON body of an answer that no endpoint gave."""

    outcome: str
    reason: str
    detail: str = ""


def _error_answer(
    status: int,
    outcome: str,
    reason: str,
    *,
    retry_after_s: int = 0,
) -> CallerAnswer:
    headers = [
        ("Content-Type", "application/json"),
        (OUTCOME_HEADER, outcome),
    ]
    if retry_after_s:
        headers.append(("Retry-After", str(retry_after_s)))
    body = msgspec.json.encode(ErrorBody(outcome=outcome, reason=reason))
    return CallerAnswer(status=status, headers=headers, body=body)


def rejected(status: int, reason: str) -> CallerAnswer:
    """Return the answer to a bad request, which did not run."""
    return _error_answer(status, NOT_RUN, reason)


def answered(reply: endpoints.Reply) -> CallerAnswer:
    """Return an endpoint's complete answer, to be passed on."""
    headers = [
        (name, value)
        for name, value in reply.headers
        if name.lower() not in DROPPED_HEADERS
    ]
    headers.append((OUTCOME_HEADER, RAN))
    return CallerAnswer(status=reply.status, headers=headers, body=reply.body)


def answer_for_effect(effect: effects.AnyEffect) -> CallerAnswer:
    """Return the answer to a request that ended without an endpoint's reply.

    Raise ``TypeError`` for an effect that does not answer a request.
    """
    match effect:
        case effects.RefuseRequest(reason=reason):
            return _error_answer(
                _STATUS_OF_REFUSAL.get(reason, 503),
                NOT_RUN,
                reason.value,
                retry_after_s=effect.retry_after_s,
            )
        case effects.AnswerUnknown(reason=reason):
            return _error_answer(502, UNKNOWN, reason)
        case effects.AnswerRan():
            return _stored_answer(effect)
        case _:
            raise TypeError(f"effect does not answer a request: {effect!r}")


def _stored_answer(effect: effects.AnswerRan) -> CallerAnswer:
    """Answer a repeated request with the stored answer, if there is one."""
    if not effect.answer:
        return _error_answer(409, RAN, "ran-before")
    headers = [
        ("Content-Type", effect.content_type or "application/octet-stream"),
        (OUTCOME_HEADER, RAN),
    ]
    return CallerAnswer(
        status=effect.status, headers=headers, body=effect.answer
    )

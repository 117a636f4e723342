"""The operators' interface of a daemon: a WSGI application.

Every path but the probes needs the operators' token. Bodies are JSON.
"""

import concurrent.futures
import hmac
import typing
import uuid

import loguru
import msgspec
from werkzeug import exceptions as werkzeug_exceptions
from werkzeug import routing
from werkzeug import wrappers

from azurewood.daemons import runtime as runtimes
from azurewood.operators import views
from azurewood.state import effects
from azurewood.state import events
from azurewood.state import records

PROPOSAL_TIMEOUT_S = 10.0
ANSWER_MARGIN_S = 1.0
MAX_PROPOSALS = 64

_URLS = routing.Map(
    [
        routing.Rule("/healthz", endpoint="live", methods=["GET"]),
        routing.Rule("/readyz", endpoint="ready", methods=["GET"]),
        routing.Rule("/v1/dump", endpoint="dump", methods=["GET"]),
        routing.Rule("/v1/agreed", endpoint="agreed", methods=["GET"]),
        routing.Rule("/v1/status", endpoint="status", methods=["GET"]),
        routing.Rule(
            "/v1/outcomes/<path:verdict>",
            endpoint="outcome",
            methods=["GET"],
        ),
        routing.Rule("/v1/proposals", endpoint="propose", methods=["POST"]),
    ]
)
_OPEN_ENDPOINTS = frozenset({"live", "ready"})


class ProposalBody(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """The body of a proposal: changes and how long to wait, in seconds."""

    proposals: tuple[records.Proposal, ...]
    atomic: bool = False
    timeout_s: float = PROPOSAL_TIMEOUT_S


class OperatorsApplication:
    """Serves probes, dumps and proposals."""

    __slots__ = ("_runtime", "_token")

    def __init__(self, *, runtime: runtimes.Runtime, token: str) -> None:
        self._runtime = runtime
        self._token = token.encode()

    def __call__(
        self, environ: dict[str, typing.Any], start_response: typing.Any
    ) -> typing.Iterable[bytes]:
        """Answer one request (WSGI, PEP 3333)."""
        req = wrappers.Request(environ)
        try:
            response = self._answer(req)
        except werkzeug_exceptions.HTTPException as exc:
            response = _json({"error": exc.description}, exc.code)
        return response(environ, start_response)

    def _answer(self, req: wrappers.Request) -> wrappers.Response:
        adapter = _URLS.bind_to_environ(req.environ)
        endpoint, arguments = adapter.match()
        if endpoint not in _OPEN_ENDPOINTS:
            self._authorize(req)
        handler = getattr(self, f"_{endpoint}")
        return handler(req, **arguments)

    def _authorize(self, req: wrappers.Request) -> None:
        """Compare the token in constant time; raise ``Unauthorized``."""
        scheme, _, token = req.headers.get("Authorization", "").partition(" ")
        is_same = hmac.compare_digest(token.encode(), self._token)
        if scheme != "Bearer" or not is_same:
            raise werkzeug_exceptions.Unauthorized("wrong or no token")

    def _live(self, req: wrappers.Request) -> wrappers.Response:
        return _json({"live": True})

    def _ready(self, req: wrappers.Request) -> wrappers.Response:
        is_ready = self._runtime.read_state(views.is_ready)
        return _json({"ready": is_ready}, 200 if is_ready else 503)

    def _dump(self, req: wrappers.Request) -> wrappers.Response:
        return _json(self._runtime.read_state(views.dump))

    def _agreed(self, req: wrappers.Request) -> wrappers.Response:
        return _json(self._runtime.read_state(views.agreed))

    def _status(self, req: wrappers.Request) -> wrappers.Response:
        return _json(self._runtime.read_state(views.status))

    def _outcome(
        self, req: wrappers.Request, verdict: str
    ) -> wrappers.Response:
        return _json(
            self._runtime.read_state(
                lambda state: views.outcome(state, verdict)
            )
        )

    def _propose(self, req: wrappers.Request) -> wrappers.Response:
        body = _read_body(req)
        if not 0 < len(body.proposals) <= MAX_PROPOSALS:
            raise werkzeug_exceptions.BadRequest(
                f"1 to {MAX_PROPOSALS} proposals are needed"
            )
        ticket = uuid.uuid4().hex
        fut: concurrent.futures.Future = concurrent.futures.Future()
        self._runtime.tickets[ticket] = fut
        timeout_s = min(max(body.timeout_s, 0.1), PROPOSAL_TIMEOUT_S)
        self._runtime.post(
            events.Proposed(
                ticket=ticket,
                proposals=body.proposals,
                atomic=body.atomic,
                deadline=self._runtime.clock() + timeout_s,
            )
        )
        answer: effects.AnswerProposal = fut.result(
            timeout=timeout_s + ANSWER_MARGIN_S
        )
        return _json({"resolved": answer.resolved})


def _read_body(req: wrappers.Request) -> ProposalBody:
    try:
        return msgspec.json.decode(req.get_data(), type=ProposalBody)
    except msgspec.DecodeError as exc:
        raise werkzeug_exceptions.BadRequest(str(exc)) from exc


def _json(body: typing.Any, status: int = 200) -> wrappers.Response:
    return wrappers.Response(
        msgspec.json.encode(body),
        status=status,
        content_type="application/json",
    )


def report_failure(exc: BaseException) -> None:
    """Log that a thread of the daemon failed."""
    loguru.logger.opt(exception=exc).critical("a thread failed: {}", exc)

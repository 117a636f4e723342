"""The operators' HTTP interface of a daemon, as a WSGI application.

Every path except the health and readiness probes requires the operators'
token. Request and response bodies are JSON.
"""

import collections.abc
import concurrent.futures
import dataclasses
import hmac
import typing
import uuid

import loguru
import msgspec
from werkzeug import exceptions as werkzeug_exceptions
from werkzeug import routing
from werkzeug import wrappers

from azurewood.conf import decoding
from azurewood.daemons import runtime as runtimes
from azurewood.operators import checks
from azurewood.operators import messages
from azurewood.operators import views
from azurewood.state import effects
from azurewood.state import events
from azurewood.state import model
from azurewood.state import records

ANSWER_MARGIN_S = 1.0
MIN_TIMEOUT_S = 0.1
UNPROCESSABLE = 422
GATEWAY_TIMEOUT = 504

_URLS = routing.Map(
    [
        routing.Rule("/healthz", endpoint="live", methods=["GET"]),
        routing.Rule("/readyz", endpoint="ready", methods=["GET"]),
        routing.Rule("/v1/dump", endpoint="dump", methods=["GET"]),
        routing.Rule("/v1/agreed", endpoint="agreed", methods=["GET"]),
        routing.Rule("/v1/status", endpoint="status", methods=["GET"]),
        routing.Rule("/v1/hosts/<host>", endpoint="host", methods=["GET"]),
        routing.Rule(
            "/v1/objects/<path:name>", endpoint="object", methods=["GET"]
        ),
        routing.Rule(
            "/v1/outcomes/<path:verdict>",
            endpoint="outcome",
            methods=["GET"],
        ),
        routing.Rule("/v1/proposals", endpoint="propose", methods=["POST"]),
    ]
)
_UNAUTHENTICATED_ENDPOINTS = frozenset({"live", "ready"})


@dataclasses.dataclass(slots=True, kw_only=True)
class _ProposalBatch:
    """The validated proposals of one request, with their ids."""

    ticket: str
    ids: tuple[str, ...]
    proposals: tuple[records.Proposal, ...]
    atomic: bool
    timeout_s: float


class OperatorsApplication:
    """Serves probes, views of the state, and proposals."""

    __slots__ = ("_counters", "_max_body", "_runtime", "_token")

    def __init__(
        self,
        *,
        runtime: runtimes.Runtime,
        token: str,
        max_body_bytes: int = 8 << 20,
        counters: collections.abc.Callable[[], dict[str, int]] = dict,
    ) -> None:
        """Create the application; dumps include what ``counters`` returns."""
        self._runtime = runtime
        self._token = token.encode()
        self._max_body = max_body_bytes
        self._counters = counters

    def __call__(
        self, environ: dict[str, typing.Any], start_response: typing.Any
    ) -> typing.Iterable[bytes]:
        """Handle one request (WSGI, PEP 3333)."""
        req = wrappers.Request(environ)
        req.max_content_length = self._max_body
        try:
            response = self._answer(req)
        except werkzeug_exceptions.HTTPException as exc:
            response = _error(exc.code or 500, exc.description or exc.name)
            response.headers.extend(
                (name, value)
                for name, value in exc.get_headers()
                if name == "Allow"
            )
        return response(environ, start_response)

    def _answer(self, req: wrappers.Request) -> wrappers.Response:
        adapter = _URLS.bind_to_environ(req.environ)
        endpoint, arguments = adapter.match()
        if endpoint not in _UNAUTHENTICATED_ENDPOINTS:
            self._authorize(req)
        handler = getattr(self, f"_{endpoint}")
        return handler(req, **arguments)

    def _authorize(self, req: wrappers.Request) -> None:
        """Raise ``Unauthorized`` unless the request has the right token.

        Tokens are compared in constant time.
        """
        scheme, _, token = req.headers.get("Authorization", "").partition(" ")
        given = token.encode(errors="surrogateescape")
        is_same = hmac.compare_digest(given, self._token)
        if scheme != "Bearer" or not is_same:
            raise werkzeug_exceptions.Unauthorized("wrong or no token")

    def _respond_with_view(
        self, view: collections.abc.Callable[[model.State], typing.Any]
    ) -> wrappers.Response:
        """Respond with a view, encoded before the state can change."""
        return _answer(
            self._runtime.read_state(
                lambda state: msgspec.json.encode(view(state))
            )
        )

    def _live(self, req: wrappers.Request) -> wrappers.Response:
        return _json({"live": True})

    def _ready(self, req: wrappers.Request) -> wrappers.Response:
        found = self._runtime.read_state(views.readiness)
        return _json(found, 200 if found.ready else 503)

    def _dump(self, req: wrappers.Request) -> wrappers.Response:
        counters = self._counters()
        return self._respond_with_view(
            lambda state: views.dump(state) | {"counters": counters}
        )

    def _agreed(self, req: wrappers.Request) -> wrappers.Response:
        return self._respond_with_view(views.agreed)

    def _status(self, req: wrappers.Request) -> wrappers.Response:
        return self._respond_with_view(views.status)

    def _host(self, req: wrappers.Request, host: str) -> wrappers.Response:
        found = self._runtime.read_state(
            lambda state: msgspec.json.encode(views.host(state, host))
        )
        if found == b"null":
            raise werkzeug_exceptions.NotFound(f"there is no host {host}")
        return _answer(found)

    def _object(self, req: wrappers.Request, name: str) -> wrappers.Response:
        return self._respond_with_view(
            lambda state: views.object_view(state, name)
        )

    def _outcome(
        self, req: wrappers.Request, verdict: str
    ) -> wrappers.Response:
        return self._respond_with_view(
            lambda state: views.outcome(state, verdict)
        )

    def _propose(self, req: wrappers.Request) -> wrappers.Response:
        batch = _validate(_read_body(req))
        findings = self._runtime.read_state(
            lambda state: [
                str(finding)
                for proposal in batch.proposals
                for finding in checks.check(state.agreed, proposal.change)
            ]
        )
        if findings:
            return _error(
                UNPROCESSABLE, "the change has faults", findings=findings
            )
        try:
            answer = self._propose_and_wait(batch)
        except concurrent.futures.TimeoutError:
            return _error(
                GATEWAY_TIMEOUT,
                "it is not known how the proposal ended; ask by its id",
                ids=batch.ids,
            )
        return _json(messages.ProposalAnswer(resolved=answer.resolved))

    def _propose_and_wait(
        self, batch: _ProposalBatch
    ) -> effects.AnswerProposal:
        """Propose the changes and wait for their outcome.

        Raise ``TimeoutError`` if the outcome is not known in time.
        """
        key = uuid.uuid4().hex
        fut: concurrent.futures.Future = concurrent.futures.Future()
        self._runtime.tickets[key] = fut
        try:
            self._runtime.post(
                events.Proposed(
                    ticket=key,
                    proposals=batch.proposals,
                    atomic=batch.atomic,
                    deadline=self._runtime.clock() + batch.timeout_s,
                )
            )
            return fut.result(timeout=batch.timeout_s + ANSWER_MARGIN_S)
        finally:
            self._runtime.tickets.pop(key, None)


def _validate(body: messages.ProposalBody) -> _ProposalBatch:
    """Validate a body and assign a ticket to each of its proposals."""
    if not 0 < len(body.proposals) <= messages.MAX_PROPOSALS:
        raise werkzeug_exceptions.BadRequest(
            f"1 to {messages.MAX_PROPOSALS} proposals are needed"
        )
    ticket = body.ticket or uuid.uuid4().hex
    if not messages.TICKET.match(ticket):
        raise werkzeug_exceptions.BadRequest("the ticket is malformed")
    for proposal in body.proposals:
        if not checks.is_for_operators(proposal.change):
            raise werkzeug_exceptions.BadRequest(
                f"{type(proposal.change).__name__} is for daemons only"
            )
    ids = tuple(
        messages.proposal_id(ticket, index)
        for index in range(len(body.proposals))
    )
    return _ProposalBatch(
        ticket=ticket,
        ids=ids,
        proposals=tuple(
            msgspec.structs.replace(proposal, ticket=name)
            for proposal, name in zip(body.proposals, ids, strict=True)
        ),
        atomic=body.atomic,
        timeout_s=min(
            max(body.timeout_s, MIN_TIMEOUT_S), messages.PROPOSAL_TIMEOUT_S
        ),
    )


def _read_body(req: wrappers.Request) -> messages.ProposalBody:
    try:
        return decoding.decode_json(req.get_data(), messages.ProposalBody)
    except (decoding.MalformedData, UnicodeDecodeError) as exc:
        raise werkzeug_exceptions.BadRequest(
            f"the body is not a proposal: {exc}"
        ) from exc


def _error(
    status: int,
    text: str,
    *,
    findings: collections.abc.Iterable[str] = (),
    ids: tuple[str, ...] = (),
) -> wrappers.Response:
    body = messages.ErrorBody(error=text, findings=tuple(findings), ids=ids)
    return _json(body, status)


def _json(body: typing.Any, status: int = 200) -> wrappers.Response:
    return _answer(msgspec.json.encode(body), status)


def _answer(body: bytes, status: int = 200) -> wrappers.Response:
    return wrappers.Response(
        body, status=status, content_type="application/json"
    )


def report_failure(exc: BaseException) -> None:
    """Log the exception that ended a thread of the daemon."""
    loguru.logger.opt(exception=exc).critical("a thread failed: {}", exc)

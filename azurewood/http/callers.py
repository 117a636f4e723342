"""A WSGI application that forwards callers' requests to endpoints.

The thread that reads a caller's request also sends it to the endpoint, so
a request that does not have to wait needs no thread switch.
"""

import collections.abc
import concurrent.futures
import itertools
import select
import socket
import ssl
import time

import loguru

from azurewood.daemons import runtime as runtimes
from azurewood.fleet import model as fleet_model
from azurewood.http import connections
from azurewood.http import endpoints
from azurewood.http import exceptions
from azurewood.http import outcomes
from azurewood.policy import claims
from azurewood.state import effects
from azurewood.state import events

DEADLINE_HEADER = "HTTP_AZUREWOOD_DEADLINE_MS"
KEY_HEADER = "HTTP_IDEMPOTENCY_KEY"
MAX_KEY_CHARACTERS = 200
DISCONNECT_CHECK_INTERVAL_S = 0.25
MAX_STORED_ANSWER_BYTES = 2048
HOP_BY_HOP = frozenset(
    {
        "connection",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
    }
)

Environ = dict[str, object]
StartResponse = collections.abc.Callable[..., object]


class CallerApplication:
    """Forwards callers' requests to the endpoints of their services."""

    __slots__ = ("_client", "_ids", "_max_body", "_name", "_runtime")

    def __init__(
        self,
        *,
        name: str,
        runtime: runtimes.Runtime,
        client: endpoints.EndpointClient,
        max_body_bytes: int,
    ) -> None:
        self._name = name
        self._runtime = runtime
        self._client = client
        self._max_body = max_body_bytes
        self._ids = itertools.count(1)

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> list[bytes]:
        """Answer one request (WSGI, PEP 3333)."""
        request_id = f"{self._name}-{next(self._ids)}"
        try:
            answer = self._answer(environ, request_id)
        except exceptions.BadRequest as exc:
            answer = outcomes.rejected(exc.status, str(exc))
        if (outcomes.OUTCOME_HEADER, outcomes.UNKNOWN) in answer.headers:
            _log_unknown_outcome(environ, request_id, answer)
        headers = [
            *answer.headers,
            (outcomes.REQUEST_ID_HEADER, request_id),
            ("Content-Length", str(len(answer.body))),
        ]
        if self._runtime.state.stopping_until:
            headers.append(connections.CLOSE_HEADER)
        start_response(answer.status_line, headers)
        return [answer.body]

    def _answer(
        self, environ: Environ, request_id: str
    ) -> outcomes.CallerAnswer:
        service, path = _split_path(str(environ["PATH_INFO"]))
        config = self._service(service)
        arrived, outgoing = self._parse_request(
            environ, request_id, config, path
        )
        fut: concurrent.futures.Future = concurrent.futures.Future()
        self._runtime.requests[request_id] = fut
        try:
            self._runtime.post(arrived)
            caller = environ.get(connections.SOCKET_KEY)
            return self._follow_effects(arrived, outgoing, fut, caller)
        finally:
            del self._runtime.requests[request_id]

    def _service(self, name: str) -> fleet_model.Service:
        fleet = self._runtime.state.agreed.fleet
        if fleet is None:
            raise exceptions.BadRequest(503, "no configuration yet")
        for service in fleet.services:
            if service.name == name:
                return service
        raise exceptions.BadRequest(404, f"unknown service {name!r}")

    def _parse_request(
        self,
        environ: Environ,
        request_id: str,
        service: fleet_model.Service,
        path: str,
    ) -> tuple[events.RequestArrived, endpoints.OutgoingRequest]:
        route = _route(service, path)
        method = str(environ["REQUEST_METHOD"])
        if method not in route.methods:
            raise exceptions.BadRequest(405, f"{method} is not allowed")
        body = self._read_body(environ)
        query = environ.get("QUERY_STRING")
        target = f"{path}?{query}" if query else path
        key = str(environ.get(KEY_HEADER, ""))
        if len(key) > MAX_KEY_CHARACTERS:
            raise exceptions.BadRequest(400, "Idempotency-Key is too long")
        arrived = events.RequestArrived(
            id=request_id,
            service=service.name,
            urgency=route.urgency,
            deadline=_deadline(environ, service),
            size=len(body),
            repeatable=route.repeatable,
            key=key,
            digest=""
            if route.repeatable
            else claims.request_digest(method, target, body),
        )
        outgoing = endpoints.OutgoingRequest(
            method=method,
            path=target,
            headers=_forwarded_headers(environ, request_id),
            body=body,
        )
        return arrived, outgoing

    def _read_body(self, environ: Environ) -> bytes:
        """Read the whole body.

        Raise ``BadRequest`` if it is too large or its length is malformed.
        """
        declared = str(environ.get("CONTENT_LENGTH") or "0")
        if not declared.isdecimal():
            raise exceptions.BadRequest(400, "malformed Content-Length")
        if int(declared) > self._max_body:
            raise exceptions.BadRequest(413, "the body is too large")
        is_chunked = "HTTP_TRANSFER_ENCODING" in environ
        if not is_chunked and declared == "0":
            return b""
        body = environ["wsgi.input"].read(
            self._max_body + 1 if is_chunked else int(declared)
        )
        if len(body) > self._max_body:
            raise exceptions.BadRequest(413, "the body is too large")
        return body

    def _follow_effects(
        self,
        arrived: events.RequestArrived,
        outgoing: endpoints.OutgoingRequest,
        fut: concurrent.futures.Future,
        caller: socket.socket | None,
    ) -> outcomes.CallerAnswer:
        """Carry out the request's effects until one of them answers it."""
        reply = None
        while True:
            effect = self._next_effect(arrived, fut, caller)
            match effect:
                case effects.StartRequest():
                    fut = concurrent.futures.Future()
                    self._runtime.requests[arrived.id] = fut
                    reply = self._send_attempt(effect, outgoing)
                case effects.AnswerCaller():
                    return outcomes.answered(reply)
                case _:
                    return outcomes.answer_for_effect(effect)

    def _next_effect(
        self,
        arrived: events.RequestArrived,
        fut: concurrent.futures.Future,
        caller: socket.socket | None,
    ) -> effects.AnyEffect:
        """Return the request's next effect.

        After the deadline, or once the caller has disconnected, abandon the
        request; its future then receives the effect that ends it.
        """
        while True:
            remaining_s = arrived.deadline - time.monotonic()
            try:
                return fut.result(
                    timeout=min(
                        max(0.0, remaining_s), DISCONNECT_CHECK_INTERVAL_S
                    )
                )
            except concurrent.futures.TimeoutError:
                if remaining_s <= 0 or _is_disconnected(caller):
                    break
        self._runtime.post(events.RequestAbandoned(id=arrived.id))
        return fut.result()

    def _send_attempt(
        self,
        effect: effects.StartRequest,
        outgoing: endpoints.OutgoingRequest,
    ) -> endpoints.Reply:
        now = time.monotonic()
        if now >= effect.start_by:
            reply = endpoints.unsent_reply("too late to be sent")
        else:
            reply = self._client.send(
                effect.address,
                effect.port,
                outgoing,
                timeout_s=effect.deadline - now,
                fresh=effect.fresh,
                hedge_at=effect.hedge_at,
            )
        is_stored = len(reply.body) <= MAX_STORED_ANSWER_BYTES
        self._runtime.post(
            events.RequestEnded(
                id=effect.id,
                result=reply.result,
                elapsed_s=reply.elapsed_s,
                status=reply.status,
                content_type=dict(reply.headers).get("Content-Type", ""),
                answer=reply.body if is_stored else b"",
            )
        )
        return reply


def _is_disconnected(caller: socket.socket | None) -> bool:
    """Return whether a caller has closed its connection.

    Always return False for a TLS connection.
    """
    if caller is None or isinstance(caller, ssl.SSLSocket):
        return False
    poll = select.poll()
    try:
        poll.register(caller, select.POLLIN)
        # recv blocks on a socket with a timeout, even with MSG_PEEK.
        return bool(poll.poll(0)) and not caller.recv(1, socket.MSG_PEEK)
    except (OSError, ValueError):
        return True


def _log_unknown_outcome(
    environ: Environ, request_id: str, answer: outcomes.CallerAnswer
) -> None:
    """Log that it is unknown whether a request ran."""
    service, _ = _split_path(str(environ["PATH_INFO"]))
    loguru.logger.bind(
        event="request_unknown", request_id=request_id, service=service
    ).warning(
        "it is unknown whether the request ran: {}", answer.body.decode()
    )


def _split_path(path: str) -> tuple[str, str]:
    """Split ``/service/rest`` into the service and ``/rest``."""
    service, _, rest = path.lstrip("/").partition("/")
    return service, f"/{rest}"


def _route(service: fleet_model.Service, path: str) -> fleet_model.Route:
    """Return the route whose prefix is the longest that matches a path."""
    matching = [
        route for route in service.routes if path.startswith(route.prefix)
    ]
    if not matching:
        return fleet_model.Route(prefix="/")
    return max(matching, key=lambda route: len(route.prefix))


def _deadline(environ: Environ, service: fleet_model.Service) -> float:
    """Return the earlier of the caller's and the service's deadlines.

    Raise ``BadRequest`` if the caller's header is malformed.
    """
    timeout_ms = service.deadline_ms
    header_value = str(environ.get(DEADLINE_HEADER, ""))
    if header_value:
        if not header_value.isdecimal():
            raise exceptions.BadRequest(
                400, "Azurewood-Deadline-Ms must be a whole number"
            )
        timeout_ms = min(timeout_ms, int(header_value))
    return time.monotonic() + timeout_ms / 1000


def _forwarded_headers(environ: Environ, request_id: str) -> list[str]:
    """Return the header lines to forward, without hop-by-hop headers."""
    lines = [f"{outcomes.REQUEST_ID_HEADER}: {request_id}", "Expect:"]
    for name, value in environ.items():
        if name.startswith("HTTP_"):
            header = name[5:].replace("_", "-").lower()
            if header not in HOP_BY_HOP:
                lines.append(f"{header}: {value}")
    content_type = environ.get("CONTENT_TYPE")
    if content_type:
        lines.append(f"Content-Type: {content_type}")
    return lines

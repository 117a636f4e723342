"""HTTP interface to callers and to the platform's load balancer.

The path of a job is its queue's prefix followed by the job's id: POST
submits the job, GET returns its state, DELETE cancels it. GET of the prefix
alone returns how many jobs wait in the queue. Where the configuration has
accounts, calls to queues that are not public carry a key of one.
"""

from collections import abc
import time
import typing

from werkzeug import wrappers

from azurewood.jobs import catalog
from azurewood.jobs import desk
from azurewood.jobs import exceptions
from azurewood.jobs import verdicts
from azurewood.platform import authentication
from azurewood.platform import jobs

DEADLINE_HEADER: typing.Final = "X-Deadline-Ms"
DEFAULT_WAIT_MS: typing.Final = 3000
"""How long a caller waits if its request has no deadline header."""
ANSWER_MARGIN_S: typing.Final = 0.1
"""Reserved for the response to reach the caller before its deadline."""
READY_PATH: typing.Final = "/api/readyz"
JSON: typing.Final = "application/json"

StartResponse = abc.Callable[..., typing.Any]


class Callers:
    """WSGI application that serves callers' requests about jobs."""

    __slots__ = ("_job_service",)

    def __init__(self, *, desk: desk.JobService) -> None:
        self._job_service = desk

    def __call__(
        self, environ: dict[str, typing.Any], start_response: StartResponse
    ) -> abc.Iterable[bytes]:
        """Serve one request."""
        req = wrappers.Request(environ)
        return self._answer(req)(environ, start_response)

    def _answer(self, req: wrappers.Request) -> wrappers.Response:
        # Taken before the catalog, which is then at least as new.
        fresh = self._job_service.has_fresh_catalog()
        current = self._job_service.catalog
        if current is None:
            return _refuse(503, "no configuration is known yet", 1)
        queue = current.find(req.host, req.path)
        if queue is None:
            return _refuse(404, "no such queue")
        account = authentication.authenticate(req, current, queue, fresh=fresh)
        if isinstance(account, authentication.Denied):
            return _refuse(
                account.status, account.reason, account.retry_after_s
            )
        return self._serve(req, current, queue, account)

    def _serve(
        self,
        req: wrappers.Request,
        current: catalog.Catalog,
        queue: catalog.Queue,
        account: str,
    ) -> wrappers.Response:
        job_id = req.path[len(queue.path_prefix) :]
        match req.method:
            case "POST":
                return self._submit(
                    req, queue, job_id, account, current.body_bytes
                )
            case "GET" if not job_id:
                count = self._job_service.waiting(queue.name)
                if count is None:
                    return _refuse(503, "the jobs are not listed yet", 1)
                return _json(200, jobs.encode_waiting(count))
            case "GET":
                return self._show(job_id, account)
            case "DELETE":
                verdict = self._job_service.cancel(
                    job_id, account, timeout_s=_timeout_s(req)
                )
                return _verdict(verdict)
            case _:
                return _refuse(405, "POST, GET or DELETE")

    def _submit(
        self,
        req: wrappers.Request,
        queue: catalog.Queue,
        job_id: str,
        account: str,
        body_bytes: int,
    ) -> wrappers.Response:
        if (req.content_length or 0) > body_bytes:
            return _refuse(413, f"more than {body_bytes} bytes")
        now_ms = int(time.time() * 1000)
        try:
            job = jobs.decode(
                job_id, queue, req.get_data(), now_ms, account=account
            )
        except exceptions.InvalidJob as exc:
            return _refuse(400, str(exc))
        return _verdict(
            self._job_service.submit(job, timeout_s=_timeout_s(req))
        )

    def _show(self, job_id: str, account: str) -> wrappers.Response:
        match self._job_service.show(job_id, account):
            case verdicts.JobStatus(phase=phase):
                return _json(200, jobs.encode_phase(phase))
            case verdicts.NotThere():
                return _refuse(410, "no such job")
            case verdicts.StatusUnknown(retry_after_s=after_s):
                return _refuse(503, "not in touch with the store", after_s)


class Readiness:
    """WSGI application that serves the load balancer's readiness checks."""

    __slots__ = ("_job_service",)

    def __init__(self, *, desk: desk.JobService) -> None:
        self._job_service = desk

    def __call__(
        self, environ: dict[str, typing.Any], start_response: StartResponse
    ) -> abc.Iterable[bytes]:
        """Respond with 200 if this daemon accepts requests, else with 503."""
        if environ["PATH_INFO"] != READY_PATH:
            response = _refuse(404, "not found")
        elif self._job_service.ready():
            response = _json(200, b"{}")
        else:
            response = _refuse(503, "not ready", 1)
        return response(environ, start_response)


def _timeout_s(req: wrappers.Request) -> float:
    """Return how long the caller may be kept waiting, in seconds."""
    text = req.headers.get(DEADLINE_HEADER, "")
    wait_ms = int(text) if text.isdecimal() else DEFAULT_WAIT_MS
    return max(0.0, wait_ms / 1000 - ANSWER_MARGIN_S)


def _verdict(verdict: verdicts.Verdict) -> wrappers.Response:
    match verdict:
        case verdicts.Taken():
            return _json(200, b"{}")
        case verdicts.NotThere():
            return _refuse(410, "no such job")
        case verdicts.Refused(reason=reason, retry_after_s=after_s, busy=busy):
            return _refuse(429 if busy else 503, reason, after_s)
        case verdicts.IdInUse():
            return _refuse(409, "the id is in use")
        case verdicts.TooLarge(reason=reason):
            return _refuse(413, reason)
        case verdicts.OutcomeUnknown(reason=reason):
            return _refuse(504, reason)


def _json(status: int, body: bytes) -> wrappers.Response:
    return wrappers.Response(body, status=status, content_type=JSON)


def _refuse(
    status: int, reason: str, retry_after_s: int = 0
) -> wrappers.Response:
    response = wrappers.Response(
        reason + "\n", status=status, content_type="text/plain"
    )
    if retry_after_s:
        response.headers["Retry-After"] = str(retry_after_s)
    return response

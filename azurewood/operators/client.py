"""Client of the operators' interface of the daemons, based on pycurl.

If several daemons are given, they are tried in order. A proposal carries a
ticket that the client chooses. A proposal with the same ticket is decided
only once, so the client can safely resend one whose answer was lost to the
next daemon.
"""

import collections.abc
import contextlib
import dataclasses
import io
import time
import typing
import urllib.parse
import uuid

import msgspec
import pycurl

from azurewood.conf import decoding
from azurewood.http import sockets
from azurewood.operators import exceptions
from azurewood.operators import messages
from azurewood.state import effects
from azurewood.state import records

CONNECT_TIMEOUT_MS = 2000
READ_TIMEOUT_S = 10.0
ANSWER_MARGIN_S = 3.0
MAX_PROPOSAL_TIMEOUTS = 2
"""No further daemon is tried after this multiple of a proposal's timeout."""
MAX_ANSWER_BYTES = 256 << 20
UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504

Resolution = effects.Resolution
T = typing.TypeVar("T")


@dataclasses.dataclass(slots=True, kw_only=True)
class Answer:
    """A daemon's complete HTTP response."""

    status: int
    body: bytes


class _LostAnswer(exceptions.OperatorsError):
    """A request was sent, but no complete response was received."""


class _NotSent(exceptions.OperatorsError):
    """No byte of a request was sent."""


class OperatorsClient:
    """Reads from daemons and proposes changes through them."""

    __slots__ = ("_ca", "_daemons", "_operator", "_token")

    def __init__(
        self,
        *,
        daemons: collections.abc.Iterable[str],
        token: str,
        operator: str = "operator",
        ca_certificate: str = "",
    ) -> None:
        self._daemons = tuple(url.rstrip("/") for url in daemons)
        self._token = token
        self._operator = operator
        self._ca = ca_certificate

    def agreed(self) -> messages.AgreedView:
        """Read the agreed state."""
        return self._read("/v1/agreed", messages.AgreedView)

    def status(self) -> messages.Status:
        """Read the status of the deployment as one daemon sees it."""
        return self._read("/v1/status", messages.Status)

    def host(self, name: str) -> messages.HostView:
        """Read a host's state and the reasons for it."""
        return self._read(f"/v1/hosts/{_quote(name)}", messages.HostView)

    def object(self, name: str) -> messages.ObjectView:
        """Read an object's revision and its author."""
        return self._read(f"/v1/objects/{_quote(name)}", messages.ObjectView)

    def outcome(self, proposal: str) -> messages.OutcomeView:
        """Read the outcome of a proposal by its id.

        Daemons are asked in order until one knows the outcome, since a
        daemon may lag behind the log.
        """
        views = []
        reasons = []
        for url in self._daemons:
            try:
                answer = self._call(url, f"/v1/outcomes/{_quote(proposal)}")
            except exceptions.OperatorsError as exc:
                reasons.append(str(exc))
                continue
            view = _decode(_check(answer), messages.OutcomeView)
            if view.knowledge != messages.Knowledge.UNKNOWN:
                return view
            views.append(view)
        if not views:
            raise exceptions.DaemonsUnreachable(reasons)
        return views[0]

    def dump(self) -> dict[str, typing.Any]:
        """Read the complete state of a daemon."""
        return self._read("/v1/dump", dict)

    def new_ticket(self) -> str:
        """Return a new ticket that contains the operator's name."""
        return f"{self._operator}{messages.AUTHOR_SEPARATOR}{uuid.uuid4().hex}"

    def propose(
        self,
        proposal: records.Proposal,
        *,
        ticket: str = "",
        timeout_s: float = messages.PROPOSAL_TIMEOUT_S,
    ) -> effects.Resolved:
        """Propose a change and return its outcome.

        If the outcome cannot be determined, the result is ``UNKNOWN`` and
        contains the id by which to ask for it later. Raise
        ``RequestRefused`` if nothing was proposed, and
        ``DaemonsUnreachable`` if no request was sent.
        """
        ticket = ticket or self.new_ticket()
        attempts = _Attempts(
            id=messages.proposal_id(ticket), proposal=proposal
        )
        body = msgspec.json.encode(
            messages.ProposalBody(
                proposals=(proposal,), ticket=ticket, timeout_s=timeout_s
            )
        )
        deadline = time.monotonic() + MAX_PROPOSAL_TIMEOUTS * timeout_s
        for url in self._daemons:
            if time.monotonic() >= deadline:
                break
            result = self._propose_to(url, body, timeout_s, attempts)
            if result is not None:
                return result
        if not attempts.is_outcome_unknown and not attempts.not_accepted:
            raise exceptions.DaemonsUnreachable(attempts.reasons)
        return attempts.conclusion()

    def _propose_to(
        self, url: str, body: bytes, timeout_s: float, attempts: "_Attempts"
    ) -> effects.Resolved | None:
        """Return a final result, or record in ``attempts`` why not."""
        try:
            answer = self._call(
                url,
                "/v1/proposals",
                body=body,
                timeout_s=timeout_s + ANSWER_MARGIN_S,
            )
        except _NotSent as exc:
            attempts.reasons.append(str(exc))
            return None
        except _LostAnswer as exc:
            attempts.record_unknown_outcome(str(exc))
            return None
        if answer.status == UNAVAILABLE:
            attempts.reasons.append(f"{url}: unavailable")
            return None
        if answer.status >= 500:
            attempts.record_unknown_outcome(f"{url}: status {answer.status}")
            return None
        try:
            found = _decode(_check(answer), messages.ProposalAnswer)
        except exceptions.OperatorsError as exc:
            if not attempts.is_outcome_unknown:
                raise
            attempts.record_unknown_outcome(f"{url}: {exc}")
            return None
        (result,) = found.resolved
        return attempts.record_result(result)

    def _read(self, path: str, kind: type[T]) -> T:
        """Read ``path`` from the first daemon that answers."""
        reasons = []
        for url in self._daemons:
            try:
                answer = self._call(url, path)
            except exceptions.OperatorsError as exc:
                reasons.append(str(exc))
                continue
            if answer.status >= 500:
                reasons.append(f"{url}: status {answer.status}")
                continue
            return _decode(_check(answer), kind)
        raise exceptions.DaemonsUnreachable(reasons)

    def _call(
        self,
        url: str,
        path: str,
        *,
        body: bytes | None = None,
        timeout_s: float = READ_TIMEOUT_S,
    ) -> Answer:
        """Send a request to one daemon and return its answer.

        Raise ``_NotSent`` or ``_LostAnswer`` if there is none.
        """
        curl = pycurl.Curl()
        buffer = io.BytesIO()
        try:
            self._prepare(curl, url + path, body, timeout_s)
            curl.setopt(pycurl.WRITEDATA, buffer)
            curl.perform()
            status = curl.getinfo(pycurl.RESPONSE_CODE)
            return Answer(status=status, body=buffer.getvalue())
        except pycurl.error as exc:
            _, text = exc.args
            reason = f"{url}: {text}"
            if sockets.nothing_sent(curl):
                raise _NotSent(reason) from exc
            raise _LostAnswer(reason) from exc
        finally:
            curl.close()

    def _prepare(
        self,
        curl: pycurl.Curl,
        url: str,
        body: bytes | None,
        timeout_s: float,
    ) -> None:
        curl.setopt(pycurl.URL, url)
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.PROXY, "")
        curl.setopt(pycurl.CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS)
        curl.setopt(pycurl.TIMEOUT_MS, max(1, int(timeout_s * 1000)))
        curl.setopt(pycurl.MAXFILESIZE, MAX_ANSWER_BYTES)
        curl.setopt(
            pycurl.HTTPHEADER,
            [f"Authorization: Bearer {self._token}", "Expect:"],
        )
        if self._ca:
            curl.setopt(pycurl.CAINFO, self._ca)
        if body is not None:
            curl.setopt(pycurl.POST, 1)
            curl.setopt(pycurl.POSTFIELDSIZE, len(body))
            curl.setopt(pycurl.POSTFIELDS, body)


@dataclasses.dataclass(slots=True, kw_only=True)
class _Attempts:
    """Results of sending one proposal to several daemons."""

    id: str
    proposal: records.Proposal
    is_outcome_unknown: bool = False
    not_accepted: bool = False
    reasons: list[str] = dataclasses.field(default_factory=list)

    def record_unknown_outcome(self, reason: str) -> None:
        """Record that the proposal may have been accepted."""
        self.is_outcome_unknown = True
        self.reasons.append(reason)

    def record_result(
        self, result: effects.Resolved
    ) -> effects.Resolved | None:
        """Return a result that the log decided; record any other result."""
        match result.resolution:
            case Resolution.ACCEPTED | Resolution.REJECTED:
                return msgspec.structs.replace(result, id=self.id)
            case Resolution.UNKNOWN:
                self.record_unknown_outcome(result.reason)
            case Resolution.NOT_ACCEPTED:
                self.not_accepted = True
                self.reasons.append(result.reason)
        return None

    def conclusion(self) -> effects.Resolved:
        """Return the result when no daemon returned a final one."""
        return effects.Resolved(
            id=self.id,
            object=self.proposal.object,
            resolution=(
                Resolution.UNKNOWN
                if self.is_outcome_unknown
                else Resolution.NOT_ACCEPTED
            ),
            reason="; ".join(self.reasons),
        )


def _quote(text: str) -> str:
    return urllib.parse.quote(text, safe="/:@~")


def _check(answer: Answer) -> bytes:
    """Return the body; raise ``RequestRefused`` for an error status."""
    if answer.status < 400:
        return answer.body
    try:
        error = decoding.decode_json(answer.body, messages.ErrorBody)
    except decoding.MalformedData:
        error = messages.ErrorBody(error=f"status {answer.status}")
    raise exceptions.RequestRefused(
        status=answer.status, text=error.error, findings=error.findings
    )


def _decode(body: bytes, kind: type[T]) -> T:
    """Decode a body; raise ``OperatorsError`` if it is malformed."""
    try:
        return decoding.decode_json(body, kind)
    except decoding.MalformedData as exc:
        raise exceptions.OperatorsError(
            f"a daemon's answer is malformed: {exc}"
        ) from exc


def poll(
    read: collections.abc.Callable[[], T],
    *,
    deadline: float,
    interval_s: float = 0.1,
) -> collections.abc.Iterator[T]:
    """Yield the results of ``read`` until a monotonic deadline.

    Reads that no daemon answers are skipped.
    """
    while True:
        with contextlib.suppress(exceptions.DaemonsUnreachable):
            yield read()
        if time.monotonic() >= deadline:
            return
        time.sleep(interval_s)

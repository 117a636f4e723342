"""A host with its slots, connections and the service ports of its tasks."""

import asyncio
import collections
import dataclasses
import enum
import functools
import json
import typing

import msgspec

from standins import exceptions
from standins.worker import http
from standins.worker import journal

HANG_S = 30.0
LINGER_S = 0.3
MS_PER_S = 1000
JSON = "application/json"


class Fault(enum.StrEnum):
    """The fault to inject into one request, set by its ``Fault`` header."""

    NONE = "none"
    TRUNCATE = "truncate"
    HANG = "hang"
    ERROR = "error"
    CLOSE = "close"


class Silent(enum.StrEnum):
    """Which connections get no answers.

    ``OLD`` covers the connections that are open at the time of the change,
    until they close; ``ALL`` covers new connections as well.
    """

    NO = "no"
    OLD = "old"
    ALL = "all"


class Behaviour(msgspec.Struct, kw_only=True):
    """Configurable faults of a host.

    ``refuse_new`` closes new connections immediately; ``fail_start`` makes
    every start of a task fail.
    """

    fail_everything: bool = False
    slow_ms: int = 0
    silent: Silent = Silent.NO
    refuse_new: bool = False
    fail_start: bool = False


class StartError(exceptions.StandinError):
    """A task could not be started."""


@dataclasses.dataclass(slots=True, kw_only=True)
class Job:
    """A request that waits for a slot or is being executed."""

    conn: http.Connection
    req: http.Request
    task: "Task"
    entry: journal.Execution | None = None
    timer: asyncio.TimerHandle | None = None


class Host:
    """A host with ``slots`` slots and at most ``connections`` connections.

    If a connection closes, its waiting request is still started, because
    its bytes have arrived, but its running request is cancelled.
    """

    def __init__(
        self,
        *,
        name: str,
        address: str,
        zone: str = "",
        slots: int = 8,
        connections: int = 64,
        changed: typing.Callable[[], None] = lambda: None,
    ):
        self.name = name
        self.address = address
        self.zone = zone
        self.behaviour = Behaviour()
        self.journal = journal.Journal()
        self.tasks: dict[str, Task] = {}
        self.stopped: list[str] = []
        self._ended: set[str] = set()
        self.conns: set[http.Connection] = set()
        self._slots = slots
        self._max_conns = connections
        self._waiting: collections.deque[Job] = collections.deque()
        self._working: dict[http.Connection, Job] = {}
        self._changed = changed

    @property
    def busy_slots(self) -> int:
        """Return the number of slots that are executing a request."""
        return len(self._working)

    async def start_task(
        self, task_id: str, *, service: str, port: int
    ) -> None:
        """Open a service port; raise StartError. Idempotent."""
        if task_id in self.tasks or task_id in self._ended:
            return
        if self.behaviour.fail_start:
            raise StartError("this host fails every start")
        task = Task(host=self, task_id=task_id, service=service)
        self.tasks[task_id] = task
        try:
            await task.listen(address=self.address, port=port)
        except OSError as exc:
            del self.tasks[task_id]
            raise StartError(str(exc)) from exc
        if task.stopping:
            task.close_port()

    def ended(self, task: "Task") -> None:
        """Remove a task that has stopped and report it."""
        if self.tasks.pop(task.task_id, None) is not None:
            self._ended.add(task.task_id)
            self.stopped.append(task.task_id)
            self._changed()

    def behave(self, changes: dict) -> Behaviour:
        """Change how the host behaves; raise msgspec.ValidationError."""
        merged = msgspec.structs.asdict(self.behaviour) | changes
        self.behaviour = msgspec.convert(merged, Behaviour)
        if self.behaviour.silent is not Silent.NO:
            for conn in self.conns:
                conn.silent = True
        return self.behaviour

    def admit(self, conn: http.Connection) -> bool:
        """Admit a new connection unless the connection limit is reached."""
        full = len(self.conns) >= self._max_conns
        if full or self.behaviour.refuse_new:
            return False
        conn.silent = self.behaviour.silent is Silent.ALL
        self.conns.add(conn)
        return True

    def lost(self, conn: http.Connection) -> None:
        """Cancel the running request of a closed connection."""
        self.conns.discard(conn)
        job = self._working.pop(conn, None)
        if job is not None:
            if job.timer is not None:
                job.timer.cancel()
            job.entry.ending = journal.Ending.CUT
            self._start_waiting()

    def submit(self, job: Job) -> None:
        """Execute a request, or queue it until a slot is free."""
        if len(self._working) < self._slots:
            self._start(job)
        else:
            self._waiting.append(job)

    def _start_waiting(self) -> None:
        while self._waiting and len(self._working) < self._slots:
            self._start(self._waiting.popleft())

    def _start(self, job: Job) -> None:
        headers = job.req.headers
        job.entry = self.journal.start(
            host=self.name,
            service=job.task.service,
            method=job.req.method,
            path=job.req.path,
            key=headers.get("idempotency-key", ""),
            request_id=headers.get("azurewood-request-id", ""),
        )
        if job.conn.closed:
            job.entry.ending = journal.Ending.CUT
            return
        self._working[job.conn] = job
        work_s = self._work_s(headers)
        if work_s > 0:
            job.timer = asyncio.get_running_loop().call_later(
                work_s, self._finish, job
            )
        else:
            self._finish(job)

    def _work_s(self, headers: dict[str, str]) -> float:
        if self.behaviour.fail_everything:
            return 0.0
        if headers.get("fault") == Fault.HANG:
            return HANG_S
        try:
            work_ms = float(headers.get("work-ms", "0"))
        except ValueError:
            work_ms = 0.0
        return (work_ms + self.behaviour.slow_ms) / MS_PER_S

    def _finish(self, job: Job) -> None:
        # Free the slot before writing the answer: the connection's next
        # request may already be in its buffer.
        self._working.pop(job.conn, None)
        sent = not (job.conn.silent or job.conn.closed)
        fault = job.req.headers.get("fault", Fault.NONE)
        if fault in (Fault.HANG, Fault.CLOSE, Fault.TRUNCATE):
            sent = False
        job.entry.ending = (
            journal.Ending.FINISHED if sent else journal.Ending.CUT
        )
        self._start_waiting()
        if self.behaviour.fail_everything or fault == Fault.ERROR:
            job.conn.answer(500, b"failed", kind="text/plain")
        elif fault in (Fault.HANG, Fault.CLOSE):
            job.conn.abort()
        elif fault == Fault.TRUNCATE:
            job.conn.answer_in_part(self._body(job), kind=JSON)
        else:
            job.conn.answer(200, self._body(job), kind=JSON)

    def _body(self, job: Job) -> bytes:
        entry = job.entry
        fields = {
            "path": entry.path,
            "key": entry.key,
            "request_id": entry.request_id,
            "host": self.name,
            "service": entry.service,
            "padding": "",
        }
        body = json.dumps(fields).encode()
        text = job.req.headers.get("answer-bytes", "0")
        wanted = int(text) if text.isascii() and text.isdigit() else 0
        missing = min(wanted, http.MAX_BODY_BYTES) - len(body)
        if missing > 0:
            body = body[:-2] + b"x" * missing + b'"}'
        return body


class Task:
    """A task of a service: a listening port and its connections."""

    def __init__(self, *, host: Host, task_id: str, service: str):
        self.task_id = task_id
        self.service = service
        self.stopping = False
        self._host = host
        self._conns: set[http.Connection] = set()
        self._server: asyncio.Server | None = None

    async def listen(self, *, address: str, port: int) -> None:
        """Open the service port; raise OSError."""
        self._server = await asyncio.get_running_loop().create_server(
            functools.partial(http.Connection, owner=self),
            address,
            port,
            backlog=256,
        )

    def accept(self, conn: http.Connection) -> bool:
        """Accept a connection unless the host is full or the task stops."""
        if self.stopping or not self._host.admit(conn):
            return False
        self._conns.add(conn)
        return True

    def lost(self, conn: http.Connection) -> None:
        """Remove a closed connection; a stopping task ends with its last."""
        self._conns.discard(conn)
        self._host.lost(conn)
        if self.stopping and not self._conns:
            self._host.ended(self)

    def handle(self, conn: http.Connection, req: http.Request) -> None:
        """Submit a request to the host."""
        self._host.submit(Job(conn=conn, req=req, task=self))

    def stop(self, *, grace_ms: int) -> None:
        """Stop accepting, and abort requests after the grace period.

        Requests that were in transit when the task stopped are still served
        for ``LINGER_S``; then idle connections are closed.
        """
        if self.stopping:
            return
        self.stopping = True
        self.close_port()
        loop = asyncio.get_running_loop()
        grace_s = grace_ms / MS_PER_S
        for conn in self._conns:
            conn.closing = True
        loop.call_later(min(LINGER_S, grace_s / 2), self._close_idle)
        loop.call_later(grace_s, self._cut)
        if not self._conns:
            self._host.ended(self)

    def close_port(self) -> None:
        """Stop accepting connections if the port is open."""
        if self._server is not None:
            self._server.close()

    def _close_idle(self) -> None:
        for conn in tuple(self._conns):
            conn.close_if_idle()

    def _cut(self) -> None:
        for conn in tuple(self._conns):
            conn.abort()

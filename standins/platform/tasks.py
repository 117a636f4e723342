"""Tasks, their leases, and the calls that start and stop them."""

import concurrent.futures
import dataclasses
import enum
import itertools
import time
import typing

from standins import exceptions
from standins.platform import control
from standins.platform import hosts
from standins.platform import waiting

LAPSE_GRACE_MS = 10_000
MS_PER_S = 1000
MAX_CALLS = 32


class TaskState(enum.StrEnum):
    """State of a task."""

    PENDING = "pending"
    RUNNING = "running"
    STOPPING = "stopping"
    STOPPED = "stopped"
    FAILED = "failed"


ENDED = frozenset({TaskState.STOPPED, TaskState.FAILED})
HOST_GONE = "host is gone"


class UnknownTaskError(exceptions.StandinError):
    """No task has this id."""


@dataclasses.dataclass(slots=True, kw_only=True)
class Task:
    """One job of a service on a host.

    ``lease_until`` is an instant of the task service's clock, in seconds.
    ``started`` says that the worker has taken the start, ``stop_asked``
    that a stop was asked for, ``told`` that the worker has taken it, and
    ``calling`` that a call to the worker is under way.
    """

    id: str
    host: str
    service: str
    address: str
    port: int
    lease_until: float
    state: TaskState = TaskState.PENDING
    reason: str = ""
    version: int = 0
    grace_ms: int = 0
    started: bool = False
    stop_asked: bool = False
    told: bool = False
    calling: bool = False


class TaskService:
    """All tasks. Every method may be called from any thread.

    ``clock`` gives the seconds that leases are counted in; it stands still
    while the platform is down, as nobody can renew then. ``reachable`` says
    whether the platform reaches a zone.
    """

    def __init__(
        self,
        *,
        host_list: hosts.HostList,
        clock: typing.Callable[[], float] = time.monotonic,
        reachable: typing.Callable[[str], bool] = lambda zone: True,
        call: typing.Callable = control.call,
    ):
        self._hosts = host_list
        self._clock = clock
        self._reachable = reachable
        self._call = call
        self._notifier = waiting.Notifier()
        self._tasks: dict[str, Task] = {}
        self._version = 0
        self._pool = concurrent.futures.ThreadPoolExecutor(
            MAX_CALLS, thread_name_prefix="control"
        )

    def start(
        self,
        task_id: str,
        *,
        host: str,
        service: str,
        address: str,
        port: int,
        lease_ms: int,
    ) -> Task:
        """Start a task; with an id known already, only return that task."""
        with self._notifier.condition:
            task = self._tasks.get(task_id)
            if task is not None:
                return dataclasses.replace(task)
            task = Task(
                id=task_id,
                host=host,
                service=service,
                address=address,
                port=port,
                lease_until=self._clock() + lease_ms / MS_PER_S,
            )
            self._change(task, TaskState.PENDING)
            self._tell_start(task)
            return dataclasses.replace(task)

    def stop(
        self, task_id: str, *, grace_ms: int, reason: str = "stopped"
    ) -> Task:
        """Stop a task gracefully; only the first stop has an effect.

        Raises UnknownTaskError.
        """
        with self._notifier.condition:
            task = self._tasks.get(task_id)
            if task is None:
                raise UnknownTaskError(task_id)
            self._stop(task, grace_ms=grace_ms, reason=reason)
            return dataclasses.replace(task)

    def renew(self, task_ids: list[str], *, lease_ms: int) -> list[str]:
        """Renew leases; return the ids of tasks that have lapsed or ended."""
        with self._notifier.condition:
            now = self._clock()
            lapsed = []
            for task_id in task_ids:
                task = self._tasks.get(task_id)
                if not _renewable(task, now=now):
                    lapsed.append(task_id)
                    continue
                task.lease_until = now + lease_ms / MS_PER_S
            return lapsed

    def changed(
        self, *, since: int = 0, zone: str = "", deadline: float = 0.0
    ) -> tuple[int, list[Task]]:
        """Return the version and the tasks changed after ``since``.

        It waits for a change until the deadline (monotonic seconds). A
        task on a host whose zone is unknown is in every zone.
        """
        changes: list[Task] = []

        def ready() -> bool:
            changes[:] = self._changed_after(since, zone=zone)
            return bool(changes) or since > self._version

        with self._notifier.condition:
            self._notifier.wait_for(ready=ready, deadline=deadline)
            return self._version, [dataclasses.replace(t) for t in changes]

    def lapse(self) -> None:
        """Stop the tasks whose lease is over.

        Repeat the starts and stops that have not reached their worker.
        """
        with self._notifier.condition:
            now = self._clock()
            for task in list(self._tasks.values()):
                if task.state in ENDED:
                    continue
                if task.state is TaskState.STOPPING:
                    self._tell_stop(task)
                elif task.lease_until <= now:
                    self._stop(
                        task, grace_ms=LAPSE_GRACE_MS, reason="lease lapsed"
                    )
                elif task.state is TaskState.PENDING:
                    self._tell_start(task)

    def ended_on_worker(self, task_ids: list[str]) -> None:
        """Note the tasks that a worker says have stopped."""
        with self._notifier.condition:
            for task_id in task_ids:
                task = self._tasks.get(task_id)
                if task is not None and task.state not in ENDED:
                    self._change(task, TaskState.STOPPED)

    def host_gone(self, host: str) -> None:
        """Fail the tasks of a host that is not heard any more."""
        with self._notifier.condition:
            for task in self._on_host(host):
                if task.state not in ENDED:
                    self._change(task, TaskState.FAILED, reason=HOST_GONE)

    def host_back(self, host: str) -> None:
        """Take up the tasks of a host that was only cut off or paused.

        Those whose lease is over are stopped, the others run on.
        """
        with self._notifier.condition:
            for task in self._on_host(host):
                if task.reason != HOST_GONE:
                    continue
                if task.stop_asked or task.lease_until <= self._clock():
                    task.told = False
                    self._change(task, TaskState.STOPPING, reason="stopped")
                elif task.started:
                    self._change(task, TaskState.RUNNING, reason="")
                else:
                    self._change(task, TaskState.PENDING, reason="")

    def host_restarted(self, host: str) -> None:
        """Fail for good the tasks that ended with their worker's process."""
        with self._notifier.condition:
            for task in self._on_host(host):
                if task.state not in ENDED or task.reason == HOST_GONE:
                    self._change(
                        task, TaskState.FAILED, reason="worker restarted"
                    )

    def stop_host(self, host: str, *, grace_ms: int) -> None:
        """Stop what runs on a host."""
        with self._notifier.condition:
            for task in self._on_host(host):
                self._stop(task, grace_ms=grace_ms, reason="host reboots")

    def running_on(self, host: str) -> int:
        """Return the number of tasks on a host that have not ended."""
        with self._notifier.condition:
            return sum(t.state not in ENDED for t in self._on_host(host))

    def interrupt(self) -> None:
        """End the waits that are going on."""
        self._notifier.interrupt()

    def close(self) -> None:
        """End the threads that call workers."""
        self._pool.shutdown(wait=False, cancel_futures=True)

    def _on_host(self, host: str) -> list[Task]:
        return [task for task in self._tasks.values() if task.host == host]

    def _changed_after(self, version: int, *, zone: str) -> list[Task]:
        if version == self._version:
            return []
        # The tasks are kept in the order of their versions.
        newest_first = itertools.takewhile(
            lambda task: task.version > version,
            reversed(self._tasks.values()),
        )
        return [
            task
            for task in newest_first
            if not zone or self._zone(task.host) in ("", zone)
        ]

    def _zone(self, host: str) -> str:
        try:
            return self._hosts.get(host).zone
        except hosts.UnknownHostError:
            return ""

    def _change(
        self, task: Task, state: TaskState, *, reason: str | None = None
    ) -> None:
        self._tasks.pop(task.id, None)
        self._tasks[task.id] = task
        self._version += 1
        task.version = self._version
        task.state = state
        if reason is not None:
            task.reason = reason
        self._notifier.condition.notify_all()

    def _stop(self, task: Task, *, grace_ms: int, reason: str) -> None:
        if task.stop_asked:
            return
        task.stop_asked = True
        task.grace_ms = grace_ms
        # A task of a host that is gone is stopped when the host is back.
        if task.state in ENDED:
            return
        self._change(task, TaskState.STOPPING, reason=reason)
        self._tell_stop(task)

    def _tell_start(self, task: Task) -> None:
        if not task.calling:
            task.calling = True
            self._pool.submit(self._start_on_worker, task)

    def _tell_stop(self, task: Task) -> None:
        # A start that is under way has to reach the worker before the stop.
        if not (task.calling or task.told):
            task.calling = True
            self._pool.submit(self._stop_on_worker, task)

    def _start_on_worker(self, task: Task) -> None:
        # Without an answer the start may have taken effect; it is repeated.
        state, reason = TaskState.PENDING, ""
        try:
            body = {"service": task.service, "port": task.port}
            self._call_host(task, method="PUT", suffix="", body=body)
            state, task.started = TaskState.RUNNING, True
        except (control.RefusedError, hosts.UnknownHostError) as exc:
            state, reason = TaskState.FAILED, f"start failed: {exc}"
        except control.ControlError as exc:
            reason = f"start to be repeated: {exc}"
        with self._notifier.condition:
            task.calling = False
            if task.state is TaskState.PENDING:
                if (state, reason) != (task.state, task.reason):
                    self._change(task, state, reason=reason)
            elif task.state is TaskState.STOPPING:
                self._tell_stop(task)

    def _stop_on_worker(self, task: Task) -> None:
        told = gone = False
        try:
            body = {"grace_ms": task.grace_ms}
            self._call_host(task, method="POST", suffix="/stop", body=body)
            told = True
        except (control.RefusedError, hosts.UnknownHostError):
            gone = True
        except control.ControlError:
            pass
        with self._notifier.condition:
            task.calling = False
            task.told = told
            if gone and task.state is TaskState.STOPPING:
                self._change(task, TaskState.STOPPED)

    def _call_host(
        self, task: Task, *, method: str, suffix: str, body: dict
    ) -> None:
        host = self._hosts.get(task.host)
        if not self._reachable(host.zone):
            raise control.ControlError(f"zone {host.zone} is cut off")
        if host.held:
            raise control.ControlError("host is down")
        self._call(
            address=host.address,
            port=host.control_port,
            method=method,
            path=control.task_path(task.id) + suffix,
            body=body,
        )


def _renewable(task: Task | None, *, now: float) -> bool:
    if task is None:
        return False
    if task.reason == HOST_GONE and task.lease_until > now:
        return True
    return (
        task.state in (TaskState.PENDING, TaskState.RUNNING)
        and task.lease_until > now
    )

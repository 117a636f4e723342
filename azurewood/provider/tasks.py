"""A client of the platform's task service."""

import urllib.parse

import msgspec

from azurewood.provider import base
from azurewood.state import effects
from azurewood.state import events

LEASE_MS = 60000
FAILED = "failed"
HOST_GONE = "host is gone"
CALL_TIMEOUT_S = 5.0
WAIT_MARGIN_S = 2.0


class _Task(msgspec.Struct, kw_only=True):
    id: str
    host: str
    service: str
    state: str
    reason: str = ""


class _Tasks(msgspec.Struct, kw_only=True):
    version: int
    tasks: list[_Task]


class _TaskAnswer(msgspec.Struct, kw_only=True):
    task: _Task


class TaskClient:
    """Starts, stops and lists tasks, renews leases and reboots hosts."""

    __slots__ = ("_conn",)

    def __init__(self, *, conn: base.Connection) -> None:
        self._conn = conn

    def carry_out(self, effect: effects.AnyEffect) -> str:
        """Carry out an effect on tasks or hosts.

        Return the state of the task, or an empty string if the platform's
        answer has none. Raise an error of ``azurewood.provider.exceptions``.
        """
        match effect:
            case effects.StartTask():
                return self._start(effect)
            case effects.StopTask(id=task, grace_ms=grace_ms):
                body = {"grace_ms": grace_ms}
                return _task_state(self._post(f"{_path(task)}/stop", body))
            case effects.RenewLeases(ids=ids):
                self._post("/v1/leases", {"ids": ids, "lease_ms": LEASE_MS})
            case effects.RebootHost(host=host):
                name = urllib.parse.quote(host, safe="")
                self._post(f"/v1/hosts/{name}/reboot", {})
            case _:
                raise TypeError(f"not an effect on tasks or hosts: {effect!r}")
        return ""

    def _start(self, effect: effects.StartTask) -> str:
        body = {
            "host": effect.host,
            "service": effect.service,
            "address": effect.address,
            "port": effect.port,
            "lease_ms": LEASE_MS,
        }
        return _task_state(self._send("PUT", _path(effect.id), body))

    def _post(self, path: str, body: dict[str, object]) -> bytes:
        return self._send("POST", path, body)

    def _send(self, method: str, path: str, body: dict[str, object]) -> bytes:
        answer = self._conn.call(
            method,
            path,
            body=msgspec.msgpack.encode(body),
            timeout_s=CALL_TIMEOUT_S,
        )
        return base.check_status(answer, 200, 201, 202).body

    def read(self, since: int, *, wait_ms: int) -> events.TasksListed:
        """Read the tasks that changed after version ``since``."""
        answer = self._conn.call(
            "GET",
            f"/v1/tasks?since={since}&wait_ms={wait_ms}",
            timeout_s=wait_ms / 1000 + WAIT_MARGIN_S,
        )
        base.check_status(answer, 200)
        listing = base.decode(answer.body, _Tasks)
        return events.TasksListed(
            version=listing.version,
            tasks=tuple(
                events.ListedTask(
                    id=task.id,
                    host=task.host,
                    service=task.service,
                    state=_reported_state(task),
                    reason=task.reason,
                )
                for task in listing.tasks
            ),
        )


def _task_state(body: bytes) -> str:
    """Return the state of the task in an answer's body."""
    return _reported_state(base.decode(body, _TaskAnswer).task)


def _reported_state(task: _Task) -> str:
    """Return a task's state, or ``LOST`` if its host is gone.

    The task may still run on a host that only lost contact.
    """
    if task.state == FAILED and task.reason == HOST_GONE:
        return events.LOST
    return task.state


def _path(task: str) -> str:
    return f"/v1/tasks/{urllib.parse.quote(task, safe='')}"

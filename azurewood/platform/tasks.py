"""Client of the platform's task service."""

import urllib.parse

import msgspec

from azurewood.platform import base
from azurewood.state import effects
from azurewood.state import events

LEASE_MS = 60000
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


class TaskClient:
    """Starts, stops and lists tasks, renews leases and reboots hosts."""

    __slots__ = ("_conn",)

    def __init__(self, *, conn: base.Connection) -> None:
        self._conn = conn

    def carry_out(self, effect: effects.AnyEffect) -> None:
        """Carry out an effect on tasks or hosts.

        Raise an error of ``azurewood.platform.exceptions``.
        """
        match effect:
            case effects.StartTask():
                self._start(effect)
            case effects.StopTask(id=task, grace_ms=grace_ms):
                self._post(f"{_path(task)}/stop", {"grace_ms": grace_ms})
            case effects.RenewLeases(ids=ids):
                self._post("/v1/leases", {"ids": ids, "lease_ms": LEASE_MS})
            case effects.RebootHost(host=host):
                name = urllib.parse.quote(host, safe="")
                self._post(f"/v1/hosts/{name}/reboot", {})
            case _:
                raise TypeError(f"not an effect on tasks: {effect!r}")

    def _start(self, effect: effects.StartTask) -> None:
        body = {
            "host": effect.host,
            "service": effect.service,
            "address": effect.address,
            "port": effect.port,
            "lease_ms": LEASE_MS,
        }
        self._send("PUT", _path(effect.id), body)

    def _post(self, path: str, body: dict[str, object]) -> None:
        self._send("POST", path, body)

    def _send(self, method: str, path: str, body: dict[str, object]) -> None:
        answer = self._conn.call(
            method,
            path,
            body=msgspec.msgpack.encode(body),
            timeout_s=CALL_TIMEOUT_S,
        )
        base.check(answer, 200, 201, 202)

    def read(self, since: int, *, wait_ms: int) -> events.TasksListed:
        """Read the tasks that changed after a version."""
        answer = self._conn.call(
            "GET",
            f"/v1/tasks?since={since}&wait_ms={wait_ms}",
            timeout_s=wait_ms / 1000 + WAIT_MARGIN_S,
        )
        base.check(answer, 200)
        listing = base.decode(answer.body, _Tasks)
        return events.TasksListed(
            version=listing.version,
            tasks=tuple(
                events.ListedTask(
                    id=task.id,
                    host=task.host,
                    service=task.service,
                    state=task.state,
                    reason=task.reason,
                )
                for task in listing.tasks
            ),
        )


def _path(task: str) -> str:
    return f"/v1/tasks/{urllib.parse.quote(task, safe='')}"

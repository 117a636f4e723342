"""Control port of a host, called by the platform and by tests."""

import asyncio
import dataclasses
import functools
import typing
import urllib.parse

import msgspec

from standins.worker import host as host_module
from standins.worker import http

MSGPACK = "application/msgpack"


class NotFoundError(Exception):
    """The control port has no such path."""


class _Start(msgspec.Struct, kw_only=True):
    service: str
    port: int


class _Stop(msgspec.Struct, kw_only=True):
    grace_ms: int = 0


class Control:
    """Answers the calls to one host's control port."""

    def __init__(self, *, host: host_module.Host):
        self._host = host
        self._running: set[asyncio.Task] = set()

    async def listen(self, *, port: int) -> None:
        """Open the control port; raise OSError."""
        await asyncio.get_running_loop().create_server(
            functools.partial(http.Connection, owner=self),
            self._host.address,
            port,
        )

    def accept(self, conn: http.Connection) -> bool:
        """Accept every connection."""
        return True

    def lost(self, conn: http.Connection) -> None:
        """Ignore a closed connection."""

    def handle(self, conn: http.Connection, req: http.Request) -> None:
        """Answer a call."""
        running = asyncio.get_running_loop().create_task(
            self._answer(conn, req)
        )
        self._running.add(running)
        running.add_done_callback(self._running.discard)

    async def _answer(self, conn: http.Connection, req: http.Request) -> None:
        status, body = 200, None
        try:
            body = await self._call(req)
        except NotFoundError as exc:
            status, body = 404, f"not found: {exc}"
        except host_module.StartError as exc:
            status, body = 409, str(exc)
        except (ValueError, msgspec.MsgspecError) as exc:
            status, body = 400, f"bad request: {exc}"
        if status == 200:
            conn.answer(200, msgspec.msgpack.encode(body), kind=MSGPACK)
        else:
            conn.answer(status, body.encode(), kind="text/plain")

    async def _call(self, req: http.Request) -> typing.Any:
        path, _, query = req.path.partition("?")
        words = [urllib.parse.unquote(w) for w in path.split("/")[1:]]
        match [req.method, *words]:
            case ["PUT", "control", "tasks", task_id]:
                start = _decode(req, _Start)
                await self._host.start_task(
                    task_id, service=start.service, port=start.port
                )
                return {}
            case ["POST", "control", "tasks", task_id, "stop"]:
                return self._stop(task_id, grace_ms=_decode(req, _Stop))
            case ["GET", "control", "executions"]:
                return self._executions(urllib.parse.parse_qs(query))
            case ["POST", "control", "behaviour"]:
                return self._host.behave(_decode(req, dict))
            case ["GET", "control", "state"]:
                return self._state()
        raise NotFoundError(req.path)

    def _stop(self, task_id: str, *, grace_ms: _Stop) -> dict:
        task = self._host.tasks.get(task_id)
        if task is None:
            raise NotFoundError(task_id)
        task.stop(grace_ms=grace_ms.grace_ms)
        return {}

    def _executions(self, query: dict[str, list[str]]) -> dict:
        entries = self._host.journal.since(int(query.get("since", ["0"])[0]))
        return {
            "first": self._host.journal.first,
            "next": self._host.journal.next_number,
            "executions": [dataclasses.asdict(e) for e in entries],
        }

    def _state(self) -> dict:
        return {
            "name": self._host.name,
            "busy_slots": self._host.busy_slots,
            "connections": len(self._host.conns),
            "behaviour": self._host.behaviour,
            "tasks": {
                task.task_id: "stopping" if task.stopping else "running"
                for task in self._host.tasks.values()
            },
        }


def _decode(req: http.Request, kind: type) -> typing.Any:
    return msgspec.msgpack.decode(req.body or b"\x80", type=kind)

"""The WSGI application of the platform stand-in."""

import time
import typing

import msgspec
from werkzeug import exceptions as http
from werkzeug import routing
from werkzeug import wrappers

from standins.platform import hosts
from standins.platform import log
from standins.platform import messages
from standins.platform import service
from standins.platform import tasks

MAX_WAIT_MS = 30_000
MAX_LIMIT = 10_000
MAX_BODY_BYTES = log.MAX_RECORD_BYTES + 1
MS_PER_S = 1000
ZONE_HEADER = "Azurewood-Zone"
ABORT_KEY = "standins.abort"
ABANDONED_KEY = "standins.abandoned"

URLS = routing.Map(
    [
        routing.Rule(path, endpoint=endpoint, methods=[method])
        for method, path, endpoint in (
            ("POST", "/v1/streams/<stream>/records", "append"),
            ("GET", "/v1/streams/<stream>/records", "read"),
            ("POST", "/v1/streams/<stream>/trim", "trim"),
            ("POST", "/v1/streams/<stream>/lose", "lose"),
            ("GET", "/v1/hosts", "list_hosts"),
            ("POST", "/v1/hosts", "register"),
            ("POST", "/v1/hosts/<name>/state", "set_host_state"),
            ("POST", "/v1/hosts/<name>/reboot", "reboot"),
            ("PUT", "/v1/tasks/<task_id>", "start_task"),
            ("POST", "/v1/tasks/<task_id>/stop", "stop_task"),
            ("POST", "/v1/leases", "renew"),
            ("GET", "/v1/tasks", "list_tasks"),
            ("GET", "/v1/usage", "usage"),
            ("GET", "/v1/faults", "show_faults"),
            ("POST", "/v1/faults", "set_faults"),
            ("POST", "/internal/heartbeats", "heartbeat"),
        )
    ]
)
# Tests set faults, and workers report, whatever the platform's faults.
EXEMPT = frozenset({"show_faults", "set_faults", "heartbeat"})


class LostAnswerError(Exception):
    """The connection is to be closed without an answer."""


class App:
    """The routes of the platform stand-in, over a service.Platform."""

    def __init__(self, *, platform: service.Platform):
        self._platform = platform

    def __call__(self, environ: dict, start_response) -> typing.Iterable:
        """Answer one request (WSGI)."""
        req = wrappers.Request(environ)
        req.max_content_length = MAX_BODY_BYTES
        try:
            res = self._dispatch(req)
        except LostAnswerError:
            environ.get(ABORT_KEY, lambda: None)()
            res = wrappers.Response("answer lost", status=504)
        except (hosts.UnknownHostError, tasks.UnknownTaskError) as exc:
            res = wrappers.Response(f"unknown: {exc}", status=404)
        except (ValueError, msgspec.MsgspecError) as exc:
            res = wrappers.Response(f"bad request: {exc}", status=400)
        except http.HTTPException as exc:
            res = wrappers.Response(exc.description, status=exc.code)
        return res(environ, start_response)

    def _dispatch(self, req: wrappers.Request) -> wrappers.Response:
        endpoint, args = URLS.bind_to_environ(req.environ).match()
        handle = getattr(self, f"_{endpoint}")
        if endpoint in EXEMPT:
            return handle(req, **args)
        self._apply_faults(req)
        res = handle(req, **args)
        self._check_up(req)
        return res

    def _apply_faults(self, req: wrappers.Request) -> None:
        faults = self._platform.faults.current()
        if faults.delay_ms:
            time.sleep(min(faults.delay_ms, MAX_WAIT_MS) / MS_PER_S)
        self._check_up(req)

    def _check_up(self, req: wrappers.Request) -> None:
        box = self._platform.faults
        if box.current().hang:
            box.wait_out_hang(
                abandoned=req.environ.get(ABANDONED_KEY, lambda: False)
            )
            raise LostAnswerError
        if self._platform.is_cut(req.headers.get(ZONE_HEADER, "")):
            raise LostAnswerError
        # What an append did while the platform went down stays unknown to
        # its caller; a 503 would say that it was not appended.
        if box.current().down:
            if req.environ.get("standins.appended"):
                raise LostAnswerError
            raise http.ServiceUnavailable("the platform is down")

    def _append(self, req: wrappers.Request, stream: str):
        if self._platform.faults.take_append_failure():
            raise http.ServiceUnavailable("not appended")
        try:
            incarnation, record = self._platform.log.append(
                stream, req.get_data()
            )
        except log.RecordTooLargeError as exc:
            raise http.RequestEntityTooLarge(str(exc)) from exc
        except log.RateLimitError as exc:
            raise http.TooManyRequests(str(exc)) from exc
        except log.TooManyStreamsError as exc:
            raise http.BadRequest(str(exc)) from exc
        req.environ["standins.appended"] = True
        if self._platform.faults.take_lost_answer():
            raise LostAnswerError
        body = {
            "incarnation": incarnation,
            "offset": record.offset,
            "at_ms": record.at_ms,
        }
        return _answer(body, status=201)

    def _read(self, req: wrappers.Request, stream: str):
        try:
            page = self._platform.log.read(
                stream,
                int(req.args.get("from", 0)),
                deadline=_deadline(req),
                limit=max(1, min(int(req.args.get("limit", 1000)), MAX_LIMIT)),
            )
        except log.OffsetError as exc:
            body = {
                "incarnation": exc.incarnation,
                "first": exc.first,
                "next": exc.next_offset,
            }
            return _answer(body, status=410)
        records = [
            {"offset": r.offset, "at_ms": r.at_ms, "data": r.data}
            for r in page.records
        ]
        return _answer(
            {
                "incarnation": page.incarnation,
                "first": page.first,
                "next": page.next_offset,
                "records": records,
            }
        )

    def _trim(self, req: wrappers.Request, stream: str):
        self._platform.log.trim(
            stream, before=_body(req, messages.Trim).before
        )
        return _answer({})

    def _lose(self, req: wrappers.Request, stream: str):
        self._platform.log.lose(stream)
        return _answer({})

    def _list_hosts(self, req: wrappers.Request):
        since = req.args.get("since")
        version, states = self._platform.hosts.view(
            since=None if since is None else int(since),
            deadline=_deadline(req),
        )
        listed = [
            {"name": name, "state": state} for name, state in states.items()
        ]
        return _answer({"version": version, "hosts": listed})

    def _register(self, req: wrappers.Request):
        host = _body(req, messages.Register)
        self._platform.register(**msgspec.structs.asdict(host))
        return _answer({})

    def _heartbeat(self, req: wrappers.Request):
        if self._platform.is_cut(req.headers.get(ZONE_HEADER, "")):
            raise LostAnswerError
        heartbeat = _body(req, messages.Heartbeat)
        unknown = self._platform.heartbeat(**msgspec.structs.asdict(heartbeat))
        return _answer({"unknown": unknown})

    def _set_host_state(self, req: wrappers.Request, name: str):
        state = hosts.HostState(_body(req, messages.HostChange).state)
        self._platform.hosts.set_state(
            name, state, held=state is hosts.HostState.GONE
        )
        return _answer({})

    def _reboot(self, req: wrappers.Request, name: str):
        grace_ms = _body(req, messages.Reboot).grace_ms
        self._platform.reboot(name, grace_ms=grace_ms)
        return _answer({}, status=202)

    def _start_task(self, req: wrappers.Request, task_id: str):
        start = _body(req, messages.StartTask)
        task = self._platform.tasks.start(
            task_id, **msgspec.structs.asdict(start)
        )
        return _answer({"task": _task_map(task)})

    def _stop_task(self, req: wrappers.Request, task_id: str):
        grace_ms = _body(req, messages.StopTask).grace_ms
        task = self._platform.tasks.stop(task_id, grace_ms=grace_ms)
        return _answer({"task": _task_map(task)})

    def _renew(self, req: wrappers.Request):
        renewal = _body(req, messages.Renew)
        lapsed = self._platform.tasks.renew(
            renewal.ids, lease_ms=renewal.lease_ms
        )
        return _answer({"lapsed": lapsed})

    def _list_tasks(self, req: wrappers.Request):
        version, changed = self._platform.tasks.changed(
            since=int(req.args.get("since", 0)),
            zone=req.args.get("zone", ""),
            deadline=_deadline(req),
        )
        return _answer(
            {"version": version, "tasks": [_task_map(t) for t in changed]}
        )

    def _usage(self, req: wrappers.Request):
        usage = self._platform.hosts.usage()
        return _answer(
            {"hosts": {name: {"busy_slots": n} for name, n in usage.items()}}
        )

    def _show_faults(self, req: wrappers.Request):
        return _answer(self._platform.faults.current())

    def _set_faults(self, req: wrappers.Request):
        changes = msgspec.msgpack.decode(req.get_data(), type=dict)
        faults = self._platform.faults.update(changes)
        self._platform.interrupt()
        return _answer(faults)


def _task_map(task: tasks.Task) -> dict:
    fields = ("id", "host", "service", "state", "reason")
    return {name: getattr(task, name) for name in fields}


def _deadline(req: wrappers.Request) -> float:
    wait_ms = min(int(req.args.get("wait_ms", 0)), MAX_WAIT_MS)
    return time.monotonic() + wait_ms / MS_PER_S


def _body(req: wrappers.Request, kind: type) -> typing.Any:
    return msgspec.msgpack.decode(req.get_data() or b"\x80", type=kind)


def _answer(body: object, *, status: int = 200) -> wrappers.Response:
    return wrappers.Response(
        msgspec.msgpack.encode(body),
        status=status,
        content_type="application/msgpack",
    )

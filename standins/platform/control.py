"""Calls to the control port of a worker."""

import http.client
import urllib.parse

import msgspec

from standins import exceptions

TIMEOUT_S = 2.0


class ControlError(exceptions.StandinError):
    """The worker could not be reached, or refused."""


class RefusedError(ControlError):
    """The worker answered that it does not do this."""


def call(
    *,
    address: str,
    port: int,
    method: str,
    path: str,
    body: object = None,
    timeout_s: float = TIMEOUT_S,
) -> object:
    """Make one call; return the decoded body, None if there is none.

    Raises ControlError if the worker is not reached and RefusedError if it
    answers with an error.
    """
    conn = http.client.HTTPConnection(address, port, timeout=timeout_s)
    try:
        conn.request(method, path, body=msgspec.msgpack.encode(body))
        answer = conn.getresponse()
        data = answer.read()
    except (OSError, http.client.HTTPException) as exc:
        raise ControlError(f"{address}:{port}: {exc!r}") from exc
    finally:
        conn.close()
    if answer.status >= 400:
        raise RefusedError(data.decode(errors="replace"))
    return msgspec.msgpack.decode(data) if data else None


def task_path(task_id: str) -> str:
    """Return the path of a task on the control port."""
    return "/control/tasks/" + urllib.parse.quote(task_id, safe="")

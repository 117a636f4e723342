"""Finds the client account that a caller's call belongs to."""

import dataclasses
import typing

from loguru import logger
from werkzeug import wrappers

from azurewood.jobs import catalog

KEY_HEADER: typing.Final = "Api-Key"


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Denied:
    """A call that is not accepted, with its HTTP status.

    ``account`` is the account's name, empty if it is not known.
    """

    status: int
    reason: str
    account: str = ""
    retry_after_s: int = 0


def authenticate(
    req: wrappers.Request,
    current: catalog.Catalog,
    queue: catalog.Queue,
    *,
    fresh: bool,
) -> str | Denied:
    """Return the name of a call's account, empty if it needs none.

    ``fresh`` is whether all versions are known that may have removed a key.
    A public queue takes any call. A valid key counts there too, as its
    account's jobs are shown to it at any queue.
    """
    if current.accounts is None:
        return ""
    key = _key(req)
    account = current.account_of(key) if key else None
    name = account.name if account is not None else ""
    if queue.public:
        return name if fresh else ""
    if key == "":
        return _deny(req, queue, Denied(status=401, reason="no key"))
    if not fresh:
        denied = Denied(
            status=503,
            reason="configuration out of date",
            account=name,
            retry_after_s=1,
        )
        return _deny(req, queue, denied)
    if account is None:
        return _deny(req, queue, Denied(status=401, reason="unknown key"))
    return name


def _key(req: wrappers.Request) -> str | None:
    """Return a call's key, empty without one, and None if it is not text.

    WSGI passes the bytes of a header as Latin-1, but keys are in UTF-8.
    """
    try:
        return req.headers.get(KEY_HEADER, "").encode("latin-1").decode()
    except UnicodeError:
        return None


def _deny(
    req: wrappers.Request, queue: catalog.Queue, denied: Denied
) -> Denied:
    """Log a call that is not accepted, without its path and key.

    Neither is checked, and a caller may have put a key into the path.
    """
    logger.bind(
        event="call.unauthorized",
        method=req.method if req.method in ("POST", "GET", "DELETE") else "",
        queue=queue.name,
        account=denied.account,
        status=denied.status,
        reason=denied.reason,
    ).info("call without a valid key")
    return denied

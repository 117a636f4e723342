"""Checks that the calls of client accounts are answered by versions in force.

Calls go through a daemon's real HTTP application.
"""

from collections import abc
import dataclasses
import json
import math
import typing

from werkzeug import test

from azurewood.jobs import catalog
from azurewood.platform import frontdoor
from azurewood.platform import jobs
from standins.fleet import clock as clocks
from standins.fleet import members

CONFIG_S = 3.0
"""Time after which a stored version, or a later one, handles all calls."""
HOST = "a.example"
REFUSED = (401, 404, 503)
NO_WAIT = {frontdoor.DEADLINE_HEADER: "0"}


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class _Version:
    stored_at: float
    catalog: catalog.Catalog

    def allows(self, path: str, key: str) -> bool:
        """Return whether a call may be accepted by this version."""
        queue = self.catalog.find(HOST, path)
        if queue is None:
            return False
        if self.catalog.accounts is None or queue.public:
            return True
        return bool(key) and self.catalog.account_of(key) is not None


class KeyRules:
    """Compares the answers to calls with the versions that may handle them."""

    __slots__ = ("_breach", "_clock", "_versions")

    def __init__(
        self,
        *,
        clock: clocks.Clock,
        breach: abc.Callable[[str, str], None],
    ) -> None:
        self._clock = clock
        self._breach = breach
        self._versions: list[_Version] = []

    def add_version(self, found: catalog.Catalog) -> None:
        """Note a version of the configuration that has just been stored."""
        self._versions.append(
            _Version(stored_at=self._clock.now, catalog=found)
        )

    def check(self, path: str, key: str, status: int) -> None:
        """Check the answer to a call that was sent just now."""
        place = f"{status} for {path}"
        oldest = self._clock.now - CONFIG_S
        current = [
            version
            for version, later in zip(
                self._versions, [*self._versions[1:], None], strict=True
            )
            if later is None or later.stored_at >= oldest
        ]
        allowed = [version.allows(path, key) for version in current]
        if status == 401 and all(allowed):
            self._breach("call refused that all versions allow", place)
        if status in REFUSED:
            return
        if not any(v.allows(path, key) for v in self._versions):
            self._breach("call accepted that no version ever allowed", place)
        elif not any(allowed):
            self._breach("call accepted by an outdated version", place)


def call(
    world: typing.Any,
    member: members.SimMember,
    method: str,
    path: str,
    key: str = "",
    body: abc.Mapping[str, typing.Any] | None = None,
) -> int:
    """Return a daemon's status for a call, which waits for no append.

    The answer to a job that is being stored is 504.
    """
    headers = NO_WAIT | ({"Api-Key": key} if key else {})
    service = member.member.job_service
    client = test.Client(frontdoor.Callers(desk=service))
    data = b"" if body is None else json.dumps(body).encode()
    status = client.open(
        path,
        method=method,
        base_url=f"http://{HOST}/",
        headers=headers,
        data=data,
    ).status_code
    world.key_rules.check(path, key, status)
    if status in (200, 504):
        queue = service.catalog.find(HOST, path)
        job_id = path.removeprefix(queue.path_prefix)
        match method:
            case "POST":
                job = jobs.decode(job_id, queue, data, 0)
                world.rules.asked.setdefault(job_id, job)
            case "DELETE":
                world.rules.cancelled_at.setdefault(job_id, math.inf)
    return status

"""A client of the platform's list of live and leaving hosts."""

import msgspec

from azurewood.provider import base
from azurewood.state import events

WAIT_MARGIN_S = 2.0


class _Host(msgspec.Struct, kw_only=True):
    name: str
    state: str


class _Listing(msgspec.Struct, kw_only=True):
    version: int
    hosts: list[_Host]


class HostListClient:
    """Reads the host list, which lags behind the hosts' actual state."""

    __slots__ = ("_conn",)

    def __init__(self, *, conn: base.Connection) -> None:
        self._conn = conn

    def read(self, since: int, *, wait_ms: int) -> events.HostsListed:
        """Read the list, waiting for a version other than ``since``.

        The platform answers after ``wait_ms`` at the latest.
        """
        answer = self._conn.call(
            "GET",
            f"/v1/hosts?since={since}&wait_ms={wait_ms}",
            timeout_s=wait_ms / 1000 + WAIT_MARGIN_S,
        )
        base.check_status(answer, 200)
        listing = base.decode(answer.body, _Listing)
        return events.HostsListed(
            version=listing.version,
            hosts=tuple(
                events.ListedHost(name=host.name, state=host.state)
                for host in listing.hosts
            ),
        )

"""Bodies of the requests that the platform stand-in takes."""

import msgspec


class Register(msgspec.Struct, kw_only=True):
    """A worker's registration of one of its hosts."""

    name: str
    address: str
    control_port: int
    zone: str = ""
    boot: str = ""


class Heartbeat(msgspec.Struct, kw_only=True):
    """A worker's heartbeat for its hosts."""

    boot: str
    busy: dict[str, int]
    stopped: list[str] = []


class HostChange(msgspec.Struct, kw_only=True):
    """A state that a test sets for a host."""

    state: str


class Reboot(msgspec.Struct, kw_only=True):
    """A reboot; what runs still is stopped with this grace."""

    grace_ms: int = 0


class StartTask(msgspec.Struct, kw_only=True):
    """The start of a task."""

    host: str
    service: str
    port: int
    lease_ms: int
    address: str = ""


class StopTask(msgspec.Struct, kw_only=True):
    """A graceful stop of a task."""

    grace_ms: int = 0


class Renew(msgspec.Struct, kw_only=True):
    """A renewal of leases."""

    ids: list[str]
    lease_ms: int


class Trim(msgspec.Struct, kw_only=True):
    """A trim of a stream, before an offset."""

    before: int

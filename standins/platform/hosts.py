"""The host list, which lags behind the hosts, and their heartbeats."""

import collections
import dataclasses
import enum
import math
import time
import typing

from standins import exceptions
from standins.platform import waiting

MS_PER_S = 1000
MAX_USAGE_SAMPLES = 64


class HostState(enum.StrEnum):
    """State of a host as the host list shows it."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


class UnknownHostError(exceptions.StandinError):
    """No host of this name has registered."""


@dataclasses.dataclass(slots=True, kw_only=True)
class Host:
    """A registered host; ``boot`` changes when its worker starts anew.

    ``held`` keeps heartbeats from making the host live again, as while it
    reboots.
    """

    name: str
    address: str
    control_port: int
    zone: str
    boot: str
    state: HostState
    heard_at: float
    held: bool = False
    usage: collections.deque = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_USAGE_SAMPLES)
    )


class HostList:
    """The hosts, and the view of them that lags by ``lag_ms``.

    Every method may be called from any thread. Instants are monotonic
    seconds.
    """

    def __init__(
        self,
        *,
        lag_ms: int = 2000,
        usage_lag_ms: int = 1000,
        clock: typing.Callable[[], float] = time.monotonic,
    ):
        self._lag_s = lag_ms / MS_PER_S
        self._usage_lag_s = usage_lag_ms / MS_PER_S
        self._clock = clock
        self._notifier = waiting.Notifier()
        self._hosts: dict[str, Host] = {}
        self._due: collections.deque = collections.deque()
        self._published: dict[str, HostState] = {}
        self._version = 0

    def register(
        self,
        *,
        name: str,
        address: str,
        control_port: int,
        zone: str = "",
        boot: str = "",
    ) -> bool:
        """Add a host or renew it; return whether its worker is a new one."""
        with self._notifier.condition:
            old = self._hosts.get(name)
            fresh = old is None or old.boot != boot
            host = Host(
                name=name,
                address=address,
                control_port=control_port,
                zone=zone,
                boot=boot,
                state=HostState.GONE if old is None else old.state,
                heard_at=self._clock(),
                held=old is not None and old.held,
            )
            self._hosts[name] = host
            if not host.held:
                self._change(host, HostState.LIVE)
            return fresh

    def heartbeat(self, name: str, *, boot: str, busy_slots: int) -> bool:
        """Note a sign of life; return whether the host was gone.

        Raises UnknownHostError if it has to register.
        """
        with self._notifier.condition:
            host = self.get(name)
            if host.boot != boot:
                raise UnknownHostError(name)
            host.heard_at = self._clock()
            host.usage.append((host.heard_at, busy_slots))
            if host.held or host.state is not HostState.GONE:
                return False
            self._change(host, HostState.LIVE)
            return True

    def get(self, name: str) -> Host:
        """Return a host, or raise UnknownHostError."""
        host = self._hosts.get(name)
        if host is None:
            raise UnknownHostError(name)
        return host

    def set_state(self, name: str, state: HostState, *, held: bool) -> None:
        """Set what a host's state is; the list shows it after the lag."""
        with self._notifier.condition:
            host = self.get(name)
            host.held = held
            host.heard_at = self._clock()
            self._change(host, state)

    def silent_since(self, instant: float) -> list[str]:
        """Mark the hosts not heard since an instant as gone; name them."""
        with self._notifier.condition:
            silent = [
                host
                for host in self._hosts.values()
                if host.heard_at < instant
                and not host.held
                and host.state is not HostState.GONE
            ]
            for host in silent:
                self._change(host, HostState.GONE)
            return [host.name for host in silent]

    def forgive(self) -> None:
        """Count every host as heard now, after a pause of the platform."""
        with self._notifier.condition:
            for host in self._hosts.values():
                host.heard_at = self._clock()

    def view(
        self, *, since: int | None = None, deadline: float = 0.0
    ) -> tuple[int, dict[str, HostState]]:
        """Return the lagging list's version and the states by host name.

        With ``since`` the current version, it waits until the deadline.
        """
        with self._notifier.condition:
            self._notifier.wait_for(
                ready=lambda: self._publish() != since,
                deadline=deadline,
                next_change=lambda: self._due[0][0] if self._due else math.inf,
            )
            return self._version, dict(self._published)

    def usage(self) -> dict[str, int]:
        """Return the busy slots by host, as they were a lag ago."""
        with self._notifier.condition:
            until = self._clock() - self._usage_lag_s
            return {
                host.name: _newest(host.usage, until=until)
                for host in self._hosts.values()
            }

    def interrupt(self) -> None:
        """End the waits that are going on."""
        self._notifier.interrupt()

    def _change(self, host: Host, state: HostState) -> None:
        host.state = state
        self._due.append((self._clock() + self._lag_s, host.name, state))
        self._notifier.condition.notify_all()

    def _publish(self) -> int:
        now = self._clock()
        while self._due and self._due[0][0] <= now:
            _, name, state = self._due.popleft()
            if self._published.get(name) is not state:
                self._published[name] = state
                self._version += 1
        return self._version


def _newest(samples: typing.Iterable, *, until: float) -> int:
    busy = 0
    for at, busy_slots in samples:
        if at > until:
            break
        busy = busy_slots
    return busy

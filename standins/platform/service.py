"""The parts of the platform stand-in, and the thread that watches hosts."""

import threading
import time

from standins.platform import faults
from standins.platform import hosts
from standins.platform import log
from standins.platform import tasks

TICK_S = 0.05
HEARTBEAT_TIMEOUT_S = 2.0
REBOOT_S = 1.0
REBOOT_GRACE_MARGIN_S = 2.0
MS_PER_S = 1000


class Platform:
    """The log, the host list, the task service and the faults in force."""

    def __init__(
        self,
        *,
        event_log: log.Log | None = None,
        host_list_lag_ms: int = 2000,
        heartbeat_timeout_s: float = HEARTBEAT_TIMEOUT_S,
        reboot_s: float = REBOOT_S,
    ):
        self.log = event_log or log.Log()
        self.faults = faults.FaultBox()
        self.hosts = hosts.HostList(lag_ms=host_list_lag_ms)
        self.tasks = tasks.TaskService(
            host_list=self.hosts,
            clock=lambda: time.monotonic() - self.faults.outage_s(),
            reachable=lambda zone: not self.is_cut(zone),
        )
        self._heartbeat_timeout_s = heartbeat_timeout_s
        self._reboot_s = reboot_s
        self._closed = threading.Event()
        self._watcher = threading.Thread(target=self._watch, daemon=True)

    def start(self) -> None:
        """Start to watch hosts and leases."""
        self._watcher.start()

    def close(self) -> None:
        """End the threads."""
        self._closed.set()
        self.interrupt()
        self.tasks.close()

    def is_cut(self, zone: str) -> bool:
        """Return whether a zone is cut off from the platform."""
        return zone in self.faults.current().cut_zones

    def interrupt(self) -> None:
        """End the waits of all long polls."""
        self.log.interrupt()
        self.hosts.interrupt()
        self.tasks.interrupt()

    def register(self, **host: object) -> None:
        """Register a host; its worker says so at its start."""
        if self.hosts.register(**host):
            self.tasks.host_restarted(host["name"])
        else:
            self.tasks.host_back(host["name"])

    def heartbeat(
        self, *, boot: str, busy: dict[str, int], stopped: list[str]
    ) -> list[str]:
        """Take a worker's heartbeat; return the hosts that must register.

        ``busy`` gives the busy slots by host, ``stopped`` the tasks that
        have ended since the last heartbeat.
        """
        unknown = []
        for name, busy_slots in busy.items():
            try:
                was_gone = self.hosts.heartbeat(
                    name, boot=boot, busy_slots=busy_slots
                )
            except hosts.UnknownHostError:
                unknown.append(name)
                continue
            if was_gone:
                self.tasks.host_back(name)
        self.tasks.ended_on_worker(stopped)
        return unknown

    def reboot(self, name: str, *, grace_ms: int) -> None:
        """Start to reboot a host; raise UnknownHostError."""
        self.hosts.set_state(name, hosts.HostState.LEAVING, held=False)
        threading.Thread(
            target=self._reboot, args=(name, grace_ms), daemon=True
        ).start()

    def _reboot(self, name: str, grace_ms: int) -> None:
        self.tasks.stop_host(name, grace_ms=grace_ms)
        grace_s = grace_ms / MS_PER_S + REBOOT_GRACE_MARGIN_S
        deadline = time.monotonic() + grace_s
        while self.tasks.running_on(name) and time.monotonic() < deadline:
            self._closed.wait(TICK_S)
        self.hosts.set_state(name, hosts.HostState.GONE, held=True)
        self.tasks.host_gone(name)
        self._closed.wait(self._reboot_s)
        self.tasks.host_restarted(name)
        self.hosts.set_state(name, hosts.HostState.LIVE, held=False)

    def _watch(self) -> None:
        woke_at = time.monotonic()
        while not self._closed.wait(TICK_S):
            now = time.monotonic()
            # Heartbeats that were missed while this process was paused say
            # nothing about the hosts.
            if now - woke_at > self._heartbeat_timeout_s / 2:
                self.hosts.forgive()
            woke_at = now
            silent = self.hosts.silent_since(now - self._heartbeat_timeout_s)
            for name in silent:
                self.tasks.host_gone(name)
            current = self.faults.current()
            if current.down or current.hang:
                # A poll may have begun to wait while the fault was set.
                self.interrupt()
            if not current.down:
                self.tasks.lapse()

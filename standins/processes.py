"""Start stand-ins and daemons as processes, for tests and the demo."""

import collections
import contextlib
import dataclasses
import os
import pathlib
import re
import signal
import socket
import subprocess
import sys
import time
import typing

from standins import exceptions

READY_TIMEOUT_S = 20.0
POLL_S = 0.02
STOP_TIMEOUT_S = 10.0
LOOPBACK = "127.0.0.1"
RECENT_PORTS = 1_000
"""Ports that are not returned again until as many others have been."""

_recent_ports: collections.deque[int] = collections.deque(maxlen=RECENT_PORTS)


class NotReadyError(exceptions.StandinError):
    """A wait timed out, or a process ended before it was ready."""


def free_port(address: str = LOOPBACK) -> int:
    """Return a TCP port that is free on an address and not in recent use."""
    while True:
        with socket.socket() as sock:
            sock.bind((address, 0))
            port = sock.getsockname()[1]
        if port not in _recent_ports:
            _recent_ports.append(port)
            return port


def wait_for(
    condition: typing.Callable[[], typing.Any],
    *,
    what: str,
    timeout_s: float = READY_TIMEOUT_S,
) -> typing.Any:
    """Poll until the condition's result is true, and return the result.

    An OSError or StandinError counts as false. Raises NotReadyError after
    ``timeout_s``.
    """
    deadline = time.monotonic() + timeout_s
    last: Exception | None = None
    while time.monotonic() < deadline:
        try:
            result = condition()
        except (OSError, exceptions.StandinError) as exc:
            result, last = None, exc
        if result:
            return result
        time.sleep(POLL_S)
    raise NotReadyError(
        f"{what}: timed out after {timeout_s} s (last error: {last!r})"
    )


def is_listening(address: str, port: int) -> bool:
    """Return whether an address and port accept a connection."""
    try:
        socket.create_connection((address, port), timeout=1.0).close()
    except OSError:
        return False
    return True


@dataclasses.dataclass(slots=True, kw_only=True)
class Process:
    """A started process and the file that receives its output."""

    name: str
    popen: subprocess.Popen
    log_path: pathlib.Path

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self.popen.pid

    @property
    def alive(self) -> bool:
        """Return whether the process is still running."""
        return self.popen.poll() is None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal, unless the process has ended."""
        if self.alive:
            self.popen.send_signal(number)

    def pause(self) -> None:
        """Send SIGSTOP."""
        self.signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Send SIGCONT."""
        self.signal(signal.SIGCONT)

    def kill(self) -> None:
        """Send SIGKILL and wait until the process has ended."""
        self.signal(signal.SIGKILL)
        self.popen.wait(STOP_TIMEOUT_S)

    def terminate(self, *, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Send SIGTERM, and SIGKILL after ``timeout_s``; return the status."""
        self.resume()
        self.signal(signal.SIGTERM)
        try:
            return self.popen.wait(timeout_s)
        except subprocess.TimeoutExpired:
            self.kill()
            return self.popen.returncode

    def output(self) -> str:
        """Return what the process has written so far."""
        return self.log_path.read_text(errors="replace")


class Processes(contextlib.AbstractContextManager):
    """The processes of one test or demo, all ended when the context exits.

    Each process writes its output to a file of its own in ``log_dir``.
    """

    def __init__(self, *, log_dir: pathlib.Path):
        self._log_dir = pathlib.Path(log_dir)
        self._log_dir.mkdir(parents=True, exist_ok=True)
        self._processes: list[Process] = []

    def __exit__(self, *exc_info: object) -> None:
        self.close()

    def close(self) -> None:
        """Send SIGTERM to all processes, then wait for each of them to end."""
        for process in self._processes:
            process.resume()
            process.signal(signal.SIGTERM)
        for process in reversed(self._processes):
            process.terminate()

    def start(
        self, name: str, *args: str, env: dict[str, str] | None = None
    ) -> Process:
        """Start ``python -m args``; the log file's name contains ``name``."""
        safe_name = re.sub(r"[^\w.-]", "_", name)
        path = self._log_dir / f"{len(self._processes)}-{safe_name}.log"
        with path.open("wb") as log:
            popen = subprocess.Popen(
                [sys.executable, "-m", *args],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                env=os.environ | {"PYTHONUNBUFFERED": "1"} | (env or {}),
            )
        process = Process(name=name, popen=popen, log_path=path)
        self._processes.append(process)
        return process

    def start_ready(
        self,
        name: str,
        *args: str,
        ready: typing.Callable[[], typing.Any],
        env: dict[str, str] | None = None,
        timeout_s: float = READY_TIMEOUT_S,
    ) -> Process:
        """Start a process and wait until it is ready.

        Raises NotReadyError, with the output of the process, if the process
        ends first or is not ready within ``timeout_s``.
        """
        process = self.start(name, *args, env=env)
        try:
            wait_for(
                lambda: not process.alive or ready(),
                what=name,
                timeout_s=timeout_s,
            )
        except NotReadyError as exc:
            raise NotReadyError(f"{exc}\n{process.output()}") from exc
        if not process.alive:
            raise NotReadyError(
                f"{name} ended before it was ready:\n{process.output()}"
            )
        return process

    def start_platform(
        self, *args: str, port: int | None = None
    ) -> tuple[Process, str]:
        """Start the platform stand-in; return it and its base URL."""
        port = port or free_port()
        process = self.start_ready(
            "platform",
            "standins.platform",
            "--listen",
            f"{LOOPBACK}:{port}",
            *args,
            ready=lambda: is_listening(LOOPBACK, port),
        )
        return process, f"http://{LOOPBACK}:{port}"

    def start_worker(
        self,
        *args: str,
        platform: str,
        hosts: dict[str, str],
        control_port: int | None = None,
    ) -> tuple[Process, int]:
        """Start a worker stand-in; return it and its control port.

        ``hosts`` maps host names to ``ADDRESS`` or ``ADDRESS@ZONE``. The
        worker counts as ready when all its control ports are open; it
        registers its hosts only after that.
        """
        addresses = [text.partition("@")[0] for text in hosts.values()]
        control_port = control_port or free_port(addresses[0])
        options = [
            word
            for name, text in hosts.items()
            for word in ("--host", f"{name}={text}")
        ]
        process = self.start_ready(
            f"worker-{next(iter(hosts))}",
            "standins.worker",
            *("--platform", platform),
            *("--control-port", str(control_port)),
            *options,
            *args,
            ready=lambda: all(
                is_listening(a, control_port) for a in addresses
            ),
        )
        return process, control_port

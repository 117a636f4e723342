"""A daemon process of the soak: its settings file and its signals."""

import pathlib
import re
import signal
import threading
import time

FRONT_PORT = 8624
READY_PORT = 8622
"""Fixed ports do not collide because each daemon has its own address."""
GRACE_S = 6.0
SETTINGS = """
node: "{name}"
role: "entry"
zone: "a"
ip: "{ip}"
listen:
  front: "{ip}:{front}"
  ready: "{ip}:{ready}"
bounds:
  grace_s: {grace_s}
  lease_ms: 3000
platform:
  addr: "{store}"
cloud:
  addr: "{store}"
hint: null
"""


class Daemon:
    """A daemon process, its settings file and the times it was killed.

    Without ``has_power`` it does not start.
    """

    def __init__(self, *, number, ip, running, folder, store, module):
        self.number = number
        self.ip = ip
        self._module = module
        self._lock = threading.Lock()
        self.has_power = True
        self.killed_at = []
        self._running = running
        text = SETTINGS.format(
            name=f"m{number}",
            ip=ip,
            front=FRONT_PORT,
            ready=READY_PORT,
            store=store,
            grace_s=GRACE_S,
        )
        self._path = pathlib.Path(folder) / f"m{number}.yaml"
        self._path.write_text(text, encoding="utf-8")
        self.process = None
        self.start()

    def start(self):
        """Start the process if it is not running and has power."""
        with self._lock:
            if not self.has_power:
                return
            if self.process is None or not self.process.alive:
                self.process = self._running.start(
                    f"m{self.number}",
                    *self._module,
                    *("--settings", str(self._path)),
                )

    def reload(self):
        """Send SIGHUP, unless the interpreter is still starting.

        Until the daemon's code runs SIGHUP would end the process.
        """
        if _handles_reload(self.process.pid):
            self.process.signal(signal.SIGHUP)

    def lose_power(self):
        """Send SIGKILL without waiting; nothing starts the process again."""
        with self._lock:
            self.has_power = False
            self.killed_at.append(time.monotonic())
            self.process.signal(signal.SIGKILL)

    def note_end(self):
        """Wait until the killed process has closed its connections."""
        self.process.kill()
        self.killed_at.append(time.monotonic())

    def restore_power(self):
        """Start the process again."""
        self.has_power = True
        self.start()

    def kill(self, process=None):
        """Send SIGKILL to ``process``, by default the current process."""
        self.killed_at.append(time.monotonic())
        (process or self.process).kill()


def _handles_reload(pid):
    """Return whether a process ignores or catches SIGHUP."""
    try:
        status = pathlib.Path(f"/proc/{pid}/status").read_text()
    except FileNotFoundError:
        return False
    masks = re.findall(r"^Sig(?:Ign|Cgt):\s+(\w+)$", status, re.MULTILINE)
    return any(int(mask, 16) & 1 << signal.SIGHUP - 1 for mask in masks)

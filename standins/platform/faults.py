"""The faults that tests can set on the platform stand-in."""

import threading
import time

import msgspec

HANG_S = 30.0


class Faults(msgspec.Struct, kw_only=True):
    """What goes wrong. Of the counts, one is used up by each append."""

    down: bool = False
    delay_ms: int = 0
    lose_answers: int = 0
    append_fails: int = 0
    hang: bool = False
    cut_zones: list[str] = []


class FaultBox:
    """The faults in force. Every method may be called from any thread."""

    def __init__(self, *, now=time.monotonic):
        self._now = now
        self._condition = threading.Condition()
        self._faults = Faults()
        self._down_at = 0.0
        self._down_s = 0.0

    def update(self, changes: dict) -> Faults:
        """Set the fields named; raise msgspec.ValidationError if wrong."""
        with self._condition:
            merged = msgspec.structs.asdict(self._faults) | changes
            faults = msgspec.convert(merged, Faults)
            self._count_outage(faults.down)
            self._faults = faults
            self._condition.notify_all()
            return faults

    def current(self) -> Faults:
        """Return the faults in force; not to be changed."""
        with self._condition:
            return self._faults

    def outage_s(self) -> float:
        """Return for how long the platform has been down so far, in s."""
        with self._condition:
            going_on = self._now() - self._down_at if self._faults.down else 0
            return self._down_s + going_on

    def take_append_failure(self) -> bool:
        """Return whether this append has to fail."""
        with self._condition:
            taken = self._faults.append_fails > 0
            self._faults.append_fails -= taken
            return taken

    def take_lost_answer(self) -> bool:
        """Return whether the answer to this append is to be lost."""
        with self._condition:
            taken = self._faults.lose_answers > 0
            self._faults.lose_answers -= taken
            return taken

    def wait_out_hang(self, *, abandoned) -> None:
        """Wait until the hang ends, the caller has left, or ``HANG_S``."""
        deadline = self._now() + HANG_S
        with self._condition:
            while self._faults.hang and self._now() < deadline:
                if abandoned():
                    return
                self._condition.wait(0.2)

    def _count_outage(self, down: bool) -> None:
        if down and not self._faults.down:
            self._down_at = self._now()
        if self._faults.down and not down:
            self._down_s += self._now() - self._down_at

"""A condition that long polls wait on."""

import threading
import time
import typing


class Notifier:
    """A condition whose waiters can also be sent away.

    A fault that is set while polls are waiting has to reach them, so
    ``interrupt`` ends every wait early.
    """

    def __init__(self):
        self.condition = threading.Condition()
        self._interrupts = 0

    def interrupt(self) -> None:
        """End the waits that are going on."""
        with self.condition:
            self._interrupts += 1
            self.condition.notify_all()

    def wait_for(
        self,
        *,
        ready: typing.Callable[[], bool],
        deadline: float,
        next_change: typing.Callable[[], float] | None = None,
    ) -> None:
        """Wait until ready, the deadline or an interrupt.

        The condition has to be held. ``next_change`` gives the monotonic
        second at which ``ready`` may change without a notification.
        """
        interrupts = self._interrupts
        while not ready() and self._interrupts == interrupts:
            now = time.monotonic()
            if now >= deadline:
                return
            until = deadline
            if next_change is not None:
                until = min(until, next_change())
            self.condition.wait(max(until - now, 0.001))

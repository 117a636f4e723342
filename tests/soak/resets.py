"""Calls that are carried out and whose connection is then reset.

libcurl repeats such a call by itself if its connection was used before. For a
while after a reset the target turns calls away, so that the repetition gets
an answer that is not true of the first copy.
"""

import random
import threading
import time

from werkzeug import wrappers

from tests.soak import proxy

CALLS = {
    "store": ("/api/log-",),
    "hosts": ("/api/run-", "/api/hold", "/api/pace"),
    "machines": ("/api/machine",),
}
CARRIED_OUT_SHARE = 0.7
TURNED_AWAY_S = (0.1, 1.5)
STATUSES = {"busy": 503, "many": 429}
"""The answers to calls that are turned away and not carried out."""


class Resets:
    """Answers calls; ``faults`` are the plan's that have begun.

    A call other than a GET is reset only on a connection that was used
    before. ``note`` is called with a line on each reset.
    """

    def __init__(self, *, note):
        self.faults = []
        self._note = note
        self._lock = threading.Lock()
        self._random = random.Random(0)
        self._used = set()
        self._refusals = {}

    def answer(self, req, carry_out):
        """Return the answer to a call, or that its connection is reset."""
        target = (_target(req.path), req.headers.get("X-Target-Instance"))
        with self._lock:
            status, until = self._refusals.get(target, (0, 0.0))
            if time.monotonic() < until:
                return wrappers.Response(status=status)
            fault = self._choose(req, target)
            is_carried_out = self._random.random() < CARRIED_OUT_SHARE
            for_s = self._random.uniform(*TURNED_AWAY_S)
        if fault is None:
            return carry_out(req)
        if is_carried_out:
            carry_out(req)
        with self._lock:
            if fault.kind in STATUSES:
                until = time.monotonic() + for_s
                self._refusals[target] = (STATUSES[fault.kind], until)
        self._note(
            f"{target} {req.full_path} reset, carried out: {is_carried_out},"
            f" then {fault.kind} for {for_s:.2f} s"
        )
        return proxy.reset_answer(fault.kind, for_s)

    def _choose(self, req, target):
        """Return the fault that resets a call's connection, or None."""
        conn = (req.remote_addr, req.environ["REMOTE_PORT"])
        is_used = conn in self._used
        self._used.add(conn)
        if not is_used or req.method == "GET":
            return None
        for fault in self.faults:
            hit = fault.target == target[0]
            if hit and self._random.random() < fault.share:
                self._used.discard(conn)
                return fault
        return None


def _target(path):
    for target, prefixes in CALLS.items():
        if path.startswith(prefixes):
            return target
    return ""

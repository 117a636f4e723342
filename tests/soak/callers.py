"""Callers that submit jobs, read their states and cancel some of them.

Each caller keeps its connection to one daemon open. When a request fails
without a complete answer, the caller switches to the next daemon.
"""

import dataclasses
import http.client
import random
import time

import msgspec

from azurewood.jobs import model
from azurewood.platform import jobs

TIMEOUT_S = 3.0
MAX_TRIES = 6
GONE = 410
"""The status with which a daemon denies that a job exists."""
VISIBLE_S = 3.0
"""Time from which each daemon in touch has to know an accepted job."""
FINAL = frozenset({"completed", "failed", "cancelled"})


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class LostRequest:
    """A request whose connection ended before a complete answer."""

    daemon: int
    sent_at: float
    at: float


@dataclasses.dataclass(slots=True, kw_only=True)
class Observations:
    """What callers observed: accepted jobs, lost requests, false answers."""

    accepted: dict[str, float] = dataclasses.field(default_factory=dict)
    cancelling: set[str] = dataclasses.field(default_factory=set)
    lost: list[LostRequest] = dataclasses.field(default_factory=list)
    not_stored: list[str] = dataclasses.field(default_factory=list)
    denied: list[str] = dataclasses.field(default_factory=list)
    false_keys: list[str] = dataclasses.field(default_factory=list)
    tries: int = 0
    asked: int = 0


class Caller:
    """One caller with a persistent connection to one daemon at a time.

    With ``accounts``, its calls carry keys of the ``account`` of that name.
    """

    def __init__(
        self,
        *,
        seed,
        addresses,
        server,
        observations,
        queue,
        path,
        cancel_share=0.0,
        accounts=None,
        account="",
    ):
        self._rng = random.Random(seed)
        self._cancel_share = cancel_share
        self._accounts = accounts
        self._account = accounts.by_name[account] if account else None
        self._addresses = addresses
        self._server = server
        self._observations = observations
        self._queue = queue
        self._path = path
        self._daemon = self._rng.randrange(len(addresses))
        self._conn = None

    def run(self, stopped, pause_s):
        """Submit jobs until ``stopped`` is set; read and cancel some."""
        mine = []
        while not stopped.wait(self._draw_pause_s(pause_s)):
            job_id = f"{self._rng.getrandbits(64):016x}"
            if self._submit(job_id):
                mine.append(job_id)
            for job_id in self._rng.sample(mine, min(2, len(mine))):
                self._read_state(job_id)
            if mine and self._rng.random() < self._cancel_share:
                self._cancel(self._rng.choice(mine))
        if self._conn is not None:
            self._conn.close()

    def _draw_pause_s(self, mean_s):
        rate = self._account.rate if self._account else 1.0
        return self._rng.expovariate(rate / mean_s)

    def _choose_key(self):
        return self._account.choose_key(self._rng) if self._account else ""

    def _job(self):
        steps = [
            {
                "count": self._rng.randint(1, 4),
                "cpu": self._rng.choice((500, 1000, 2000)),
                "mem_mb": 100,
                "est_ms": self._rng.randint(50, 900),
            }
        ]
        if self._rng.random() < 0.4:
            step = {"count": 1, "cpu": 500, "mem_mb": 100, "est_ms": 200}
            steps.append(step | {"after": [0]})
        return {"spec": "text", "steps": steps}

    def _submit(self, job_id):
        body = msgspec.json.encode(self._job())
        world = self._server.world
        with self._server.lock:
            queue = self._queue
            name = self._account.name if self._account else ""
            world.rules.asked[job_id] = jobs.decode(
                job_id, queue, body, 0, account=name
            )
            self._observations.asked += 1
        unresolved = False
        key = self._choose_key()
        for _ in range(MAX_TRIES):
            status, _ = self.ask("POST", self._path + job_id, body, key)
            if status == 200:
                self._observations.accepted[job_id] = time.monotonic()
                self._check_stored("accepted", job_id, "a")
                return True
            if status in (401, 429, 503):
                break
            unresolved = True
        if not unresolved:
            with self._server.lock:
                world.rules.refused.add(job_id)
        return False

    def _read_state(self, job_id):
        key = self._choose_key()
        asked_at = time.monotonic()
        status, body = self.ask("GET", self._path + job_id, key=key)
        accepted_at = self._observations.accepted[job_id]
        if status == GONE and asked_at > accepted_at + VISIBLE_S:
            self._observations.denied.append(
                f"job {job_id} was accepted and isn't known,"
                f" {asked_at - accepted_at:.2f} s later"
            )
        if status == 200:
            with self._server.lock:
                self._server.advance()
                phase = model.Phase(msgspec.json.decode(body)["state"])
                self._server.world.rules.check_shown_phase(job_id, phase)

    def _cancel(self, job_id):
        world = self._server.world
        self._observations.cancelling.add(job_id)
        with self._server.lock:
            world.rules.cancelled_at.setdefault(job_id, float("inf"))
        key = self._choose_key()
        status, _ = self.ask("DELETE", self._path + job_id, key=key)
        if status == 200:
            with self._server.lock:
                world.rules.cancelled_at[job_id] = world.clock.now
            self._check_stored("cancelled", job_id, "ce")

    def _check_stored(self, told, job_id, kinds):
        """Note an acknowledgement without a record of one of the kinds."""
        with self._server.lock:
            stored = self._server.world.store.job_keys
            if not any(f"{kind}/{job_id}" in stored for kind in kinds):
                self._observations.not_stored.append(
                    f"job {job_id} was told {told} and is not stored"
                )

    def ask(self, method, path, body=None, key=""):
        """Send a request; return status and body, or (0, b"") on failure.

        Without ``key``, an account's caller uses the account's first one.
        """
        self._observations.tries += 1
        began_at = sent_at = time.monotonic()
        headers = {"Host": "jobs.example"}
        if self._account is not None:
            key = key or self._account.keys[0]
            headers = self._accounts.headers(key)
        try:
            if self._conn is None:
                ip, port = self._addresses[self._daemon]
                self._conn = http.client.HTTPConnection(
                    ip, port, timeout=TIMEOUT_S
                )
                self._conn.connect()
            self._conn.request(method, path, body=body, headers=headers)
            sent_at = time.monotonic()
            answer = self._conn.getresponse()
            found = answer.status, answer.read()
        except (OSError, http.client.HTTPException) as exc:
            ended = not isinstance(exc, TimeoutError)
            if ended and self._conn is not None:
                self._observations.lost.append(
                    LostRequest(
                        daemon=self._daemon,
                        sent_at=sent_at,
                        at=time.monotonic(),
                    )
                )
            self._use_next_daemon()
            return 0, b""
        if self._account is not None:
            self._observations.false_keys += self._accounts.check(
                self._daemon, path, key, answer.status, began_at
            )
        return found

    def _use_next_daemon(self):
        """Close the connection and switch to the next daemon."""
        self._conn.close()
        self._conn = None
        self._daemon = (self._daemon + 1) % len(self._addresses)

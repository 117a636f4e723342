"""Sends calls to several entry hosts from a pool of threads."""

import concurrent.futures
import dataclasses
import io
import itertools
import random
import threading
import time
import typing

import msgspec
import pycurl

from standins.callers import arrivals as arrivals_module
from standins.callers import model

MAX_CALLS = 1_000_000
US_PER_S = 1_000_000
OUTCOME_HEADER = b"azurewood-outcome"


@dataclasses.dataclass(slots=True, kw_only=True)
class Load:
    """The load to send.

    ``entries`` are base URLs; each call goes to a random one. Sending ends
    after ``max_calls`` calls or at the end of ``calls`` or ``arrivals``.
    """

    entries: tuple[str, ...]
    calls: typing.Iterable[model.Call]
    arrivals: arrivals_module.Arrivals
    threads: int = 16
    max_calls: int = MAX_CALLS
    timeout_ms: int = 10_000
    seed: int = 1


@dataclasses.dataclass(slots=True, kw_only=True)
class _Due:
    number: int
    at: float | None
    call: model.Call
    entry: str


class _Echo(msgspec.Struct):
    path: str
    key: str


class Run:
    """One run of a load; ``stop`` ends it early."""

    def __init__(self, *, load: Load):
        self._load = load
        self._guard = threading.Lock()
        self._stopped = threading.Event()
        self._started_at = 0.0
        self._ends_at = 0.0
        self.elapsed_s = 0.0

    def run(self) -> list[model.Result]:
        """Send all calls; return the results in the order they were due."""
        load = self._load
        self._started_at = time.monotonic()
        length_s = arrivals_module.length_s(load.arrivals)
        self._ends_at = self._started_at + length_s
        due = _plan(load)
        with concurrent.futures.ThreadPoolExecutor(load.threads) as pool:
            futures = [
                pool.submit(self._call_on, due) for _ in range(load.threads)
            ]
            results = [r for fut in futures for r in fut.result()]
        self.elapsed_s = time.monotonic() - self._started_at
        return sorted(results, key=lambda result: result.number)

    def stop(self) -> None:
        """Stop sending calls."""
        self._stopped.set()

    def _call_on(self, due: typing.Iterator[_Due]) -> list[model.Result]:
        sender = _Sender(timeout_ms=self._load.timeout_ms)
        results = []
        try:
            while not self._stopped.is_set():
                with self._guard:
                    one = next(due, None)
                if one is None or not self._wait_for(one):
                    break
                results.append(sender.send(one, started_at=self._started_at))
        finally:
            sender.close()
        return results

    def _wait_for(self, one: _Due) -> bool:
        if one.at is None:
            return time.monotonic() < self._ends_at
        left_s = self._started_at + one.at - time.monotonic()
        return left_s <= 0 or not self._stopped.wait(left_s)


class _Sender:
    """A pycurl handle with its connections, used by one thread."""

    def __init__(self, *, timeout_ms: int):
        self._timeout_ms = timeout_ms
        self._curl = pycurl.Curl()
        self._outcome = ""

    def close(self) -> None:
        self._curl.close()

    def send(self, one: _Due, *, started_at: float) -> model.Result:
        sent_at = time.monotonic()
        due_at = sent_at if one.at is None else started_at + one.at
        body = io.BytesIO()
        status, detail = 0, ""
        self._prepare(one, body)
        try:
            self._curl.perform()
            status = self._curl.getinfo(pycurl.RESPONSE_CODE)
        except pycurl.error as exc:
            detail = str(exc)
        return model.Result(
            number=one.number,
            call=one.call,
            entry=one.entry,
            answer=_judge(one.call, status, body.getvalue()),
            status=status,
            outcome=self._outcome,
            latency_us=int((time.monotonic() - due_at) * US_PER_S),
            sent_late_us=int((sent_at - due_at) * US_PER_S),
            detail=detail,
        )

    def _prepare(self, one: _Due, body: io.BytesIO) -> None:
        call = one.call
        self._outcome = ""
        curl = self._curl
        curl.reset()
        curl.setopt(pycurl.URL, one.entry + call.path)
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.PROXY, "")
        curl.setopt(pycurl.TIMEOUT_MS, self._timeout_ms)
        curl.setopt(pycurl.WRITEDATA, body)
        curl.setopt(pycurl.HEADERFUNCTION, self._take_header)
        headers = [f"{name}: {value}" for name, value in call.headers]
        headers.append("Expect:")
        if call.key:
            headers.append(f"Idempotency-Key: {call.key}")
        curl.setopt(pycurl.HTTPHEADER, headers)
        if call.body or call.method == "POST":
            curl.setopt(pycurl.POST, 1)
            curl.setopt(pycurl.POSTFIELDS, call.body)
        curl.setopt(pycurl.CUSTOMREQUEST, call.method)

    def _take_header(self, line: bytes) -> None:
        name, _, value = line.partition(b":")
        if name.strip().lower() == OUTCOME_HEADER:
            self._outcome = value.strip().decode("latin-1")


def _plan(load: Load) -> typing.Iterator[_Due]:
    rng = random.Random(load.seed)
    times = arrivals_module.due_times(load.arrivals, rng=rng)
    planned = zip(itertools.count(), times, load.calls)
    for number, at, call in itertools.islice(planned, load.max_calls):
        yield _Due(
            number=number, at=at, call=call, entry=rng.choice(load.entries)
        )


def _judge(call: model.Call, status: int, body: bytes) -> model.Answer:
    if not status:
        return model.Answer.NONE
    if status != 200:
        return model.Answer.ERROR
    try:
        echo = msgspec.json.decode(body, type=_Echo)
    except msgspec.MsgspecError:
        return model.Answer.WRONG
    path = call.path if call.echo_path is None else call.echo_path
    own = echo.path == path and echo.key == call.key
    return model.Answer.WHOLE if own else model.Answer.WRONG


def run(load: Load) -> tuple[list[model.Result], model.Summary]:
    """Run a load; return the results and their summary."""
    one = Run(load=load)
    results = one.run()
    return results, model.summarize(results, elapsed_s=one.elapsed_s)

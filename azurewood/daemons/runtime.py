"""The runtime: runs the reducer under one lock and dispatches its effects.

``post`` reduces an event and carries out its effects in the caller's
thread. Each effect that would block is queued for the thread that handles
its kind.
"""

import collections.abc
import concurrent.futures
import queue
import threading
import time
import typing

import loguru

from azurewood.state import effects
from azurewood.state import events
from azurewood.state import model
from azurewood.state import reducer

EffectQueue = queue.SimpleQueue


class Runtime:
    """Reduces events and dispatches their effects.

    ``requests`` and ``tickets`` map the ids of waiting requests and of
    proposals to the futures that their effects complete.
    """

    __slots__ = (
        "_lock",
        "appends",
        "clock",
        "exited",
        "peer_messages",
        "reads",
        "recorder",
        "requests",
        "state",
        "tasks",
        "tickets",
    )

    def __init__(
        self,
        *,
        state: model.State,
        recorder: typing.Callable[[events.Recorded], None] | None = None,
    ) -> None:
        self.state = state
        self.recorder = recorder
        self.requests: dict[str, concurrent.futures.Future] = {}
        self.tickets: dict[str, concurrent.futures.Future] = {}
        self.reads: EffectQueue[effects.AnyEffect] = EffectQueue()
        self.appends: EffectQueue[effects.AnyEffect] = EffectQueue()
        self.tasks: EffectQueue[effects.AnyEffect] = EffectQueue()
        self.peer_messages: EffectQueue[effects.SendPeer] = EffectQueue()
        self.exited = threading.Event()
        self.clock = time.monotonic
        self._lock = threading.Lock()

    def post(self, event: events.AnyEvent) -> None:
        """Reduce an event and carry out its effects."""
        with self._lock:
            now = self.clock()
            if self.recorder is not None:
                self.recorder(events.Recorded(now=now, event=event))
            wanted = reducer.step(self.state, event, now)
        self.carry_out(wanted)

    def read_state(
        self, function: collections.abc.Callable[[model.State], typing.Any]
    ) -> typing.Any:
        """Return the result of a function of the state, under the lock."""
        with self._lock:
            return function(self.state)

    def carry_out(
        self, wanted: collections.abc.Iterable[effects.AnyEffect]
    ) -> None:
        """Carry out effects, or queue them for the threads that do."""
        for effect in wanted:
            self._carry_out(effect)

    def _carry_out(self, effect: effects.AnyEffect) -> None:
        match effect:
            case (
                effects.StartRequest()
                | effects.RefuseRequest()
                | effects.AnswerCaller()
                | effects.AnswerUnknown()
                | effects.AnswerRan()
            ):
                self._complete(self.requests.get(effect.id), effect)
            case effects.SendPeer():
                self.peer_messages.put(effect)
            case effects.ReadLog() | effects.ReadSnapshot():
                self.reads.put(effect)
            case (
                effects.AppendRecord()
                | effects.AppendSnapshot()
                | effects.AppendSeed()
            ):
                self.appends.put(effect)
            case effects.AnswerProposal(ticket=ticket):
                self._complete(self.tickets.pop(ticket, None), effect)
            case effects.Report():
                _log(effect)
            case effects.Exit():
                self.exited.set()
            case _:
                self.tasks.put(effect)

    @staticmethod
    def _complete(
        fut: concurrent.futures.Future | None, effect: effects.AnyEffect
    ) -> None:
        if fut is not None and not fut.done():
            fut.set_result(effect)


def _log(report: effects.Report) -> None:
    loguru.logger.bind(event=report.name, revision=report.revision).log(
        report.level, report.text
    )

"""Journal of the requests that a host has started to execute."""

import collections
import dataclasses
import enum
import itertools
import time

MAX_ENTRIES = 500_000


class Ending(enum.StrEnum):
    """How an execution ended; for ``CUT``, no complete answer was sent."""

    RUNNING = "running"
    FINISHED = "finished"
    CUT = "cut"


@dataclasses.dataclass(slots=True, kw_only=True)
class Execution:
    """One request that started; ``number`` counts the host's executions."""

    number: int
    host: str
    service: str
    method: str
    path: str
    key: str
    request_id: str
    started_ms: int
    ending: Ending = Ending.RUNNING


class Journal:
    """The newest ``MAX_ENTRIES`` executions of one host."""

    def __init__(self):
        self._entries: collections.deque[Execution] = collections.deque(
            maxlen=MAX_ENTRIES
        )
        self.next_number = 0

    def start(self, **what: str) -> Execution:
        """Record that the execution of a request starts."""
        entry = Execution(
            number=self.next_number,
            started_ms=time.time_ns() // 1_000_000,
            **what,
        )
        self.next_number += 1
        self._entries.append(entry)
        return entry

    @property
    def first(self) -> int:
        """Return the number of the first entry that is kept."""
        return self.next_number - len(self._entries)

    def since(self, number: int) -> list[Execution]:
        """Return the entries, starting at a number."""
        skipped = max(0, number - self.first)
        return list(itertools.islice(self._entries, skipped, None))

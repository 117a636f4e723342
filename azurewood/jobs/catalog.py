"""The catalog: queues and pools from the operators' configuration."""

import dataclasses
import typing

DEFAULT_BODY_BYTES: typing.Final = 262144
"""Maximum size of a job's body if the configuration sets none."""


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Advice:
    """Times in ms of an advice service that approves a queue's hosts."""

    decision_ms: int
    per_host_ms: int
    validity_ms: int


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Queue:
    """A queue: where callers reach it and how its jobs run.

    A job's target duration is ``objective_factor`` times the estimated
    length of its critical path, plus ``objective_ms``.
    """

    name: str
    host: str
    path_prefix: str
    service: str
    priority: int = 0
    attempts: int = 1
    objective_factor: float = 1.0
    objective_ms: int = 0
    advice: Advice | None = None


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Pool:
    """A service's pool of hosts.

    Hosts of a pool with ``enforces_capacity`` reject runs that do not fit.
    Hosts of a ``standby`` pool are switched off and incur no cost.
    """

    name: str
    enforces_capacity: bool = False
    standby: bool = False


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Catalog:
    """One version of all queues and pools, by name."""

    version: int
    queues: dict[str, Queue]
    pools: dict[str, Pool]
    body_bytes: int = DEFAULT_BODY_BYTES

    def find(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest path prefix that matches."""
        name = host.partition(":")[0].lower()
        best: Queue | None = None
        for queue in self.queues.values():
            if queue.host.lower() != name:
                continue
            if not path.startswith(queue.path_prefix):
                continue
            if best is None or len(queue.path_prefix) > len(best.path_prefix):
                best = queue
        return best

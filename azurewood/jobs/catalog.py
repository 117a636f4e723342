"""The catalog: queues and pools as the operators' configuration has them."""

import dataclasses
import typing

DEFAULT_BODY_BYTES: typing.Final = 262144
"""Largest body of a job if the configuration does not say."""


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Advice:
    """A queue whose hosts an advice service has to approve, in ms."""

    decision_ms: int
    per_host_ms: int
    validity_ms: int


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Queue:
    """A queue: where callers reach it and how its jobs run.

    A job's objective is ``objective_factor`` times its longest chain of
    estimates and ``objective_ms`` more.
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

    The hosts of a pool with ``guards_room`` reject what does not fit.
    Those of a ``standby`` pool are switched off and cost nothing.
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
        """Return the queue of a request: the longest prefix wins."""
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

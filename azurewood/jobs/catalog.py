"""The catalog: queues, pools and accounts from the configuration."""

import dataclasses
import hashlib
import typing

from azurewood.jobs import model

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

    Calls to a ``public`` queue need no key of an account.

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
    public: bool = False


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Account:
    """A client account, for which callers' jobs run.

    ``key_digests`` are the digests of its keys, see `key_digest`. When a pool
    is full, the account's share is proportional to ``weight``. ``limit`` is
    the most that the account may have running on all hosts together; 0 means
    no limit.
    """

    name: str
    key_digests: frozenset[bytes] = dataclasses.field(
        default=frozenset(), repr=False
    )
    priority: int = 0
    weight: float = 1.0
    limit: model.Resources = model.Resources()


def key_digest(key: str) -> bytes:
    """Return the digest that a key is known and looked up by."""
    return hashlib.sha256(key.encode()).digest()


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
    """One version of all queues, pools and accounts, by name.

    ``accounts`` is None if the configuration has no accounts, so that calls
    need no key.
    """

    version: int
    queues: dict[str, Queue]
    pools: dict[str, Pool]
    body_bytes: int = DEFAULT_BODY_BYTES
    accounts: dict[str, Account] | None = None
    _accounts_by_key: dict[bytes, Account] = dataclasses.field(
        init=False, repr=False, compare=False, default_factory=dict
    )

    def __post_init__(self) -> None:
        for account in (self.accounts or {}).values():
            for digest in account.key_digests:
                self._accounts_by_key[digest] = account

    def account_of(self, key: str) -> Account | None:
        """Return the account that a key belongs to, None if unknown.

        The lookup is by digest, so that its duration tells nothing about
        the known keys.
        """
        return self._accounts_by_key.get(key_digest(key))

    def grants(self, account: str, job: model.Job) -> bool:
        """Return whether calls of an account may see and cancel a job.

        ``account`` is empty for calls without a key.
        """
        if self.accounts is None:
            return True
        queue = self.queues.get(job.queue)
        if queue is not None and queue.public:
            return True
        return account == job.account if job.account else bool(account)

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

"""Client accounts of a run: their configuration, and checks of their calls.

`standins.fleet.keys` and `standins.fleet.account_rules` hold the rules.
"""

import dataclasses
import time

import msgspec

from azurewood.jobs import model
from azurewood.journal import pages
from azurewood.platform import authentication
from azurewood.platform import catalogs
from standins.fleet import keys
from tests.platform import test_daemons
from tests.soak import plan

FIRST_VERSION = test_daemons.MANIFEST["version"]


@dataclasses.dataclass(slots=True, kw_only=True)
class Account:
    """An account with its keys; its callers send at ``rate`` times the usual.

    The first key is never removed. ``limit`` is in thousandths of a core.
    """

    name: str
    weight: int
    limit: int
    keys: list[str]
    removed: list[str] = dataclasses.field(default_factory=list)
    rate: float = 1.0

    def choose_key(self, rng):
        """Return a key: mostly the first, at times a removed or unknown one.

        Keys that are added later are used as soon as they are stored.
        """
        if rng.random() < 0.6:
            return self.keys[0]
        return rng.choice([*self.keys, *self.removed, f"{self.name}-unknown"])


class Accounts:
    """Stores versions of the configuration and checks the answers to calls.

    ``is_disturbed`` tells whether a daemon was disturbed in a time, given as
    its number, beginning and end on the monotonic clock.
    """

    def __init__(self, *, server, is_disturbed):
        self._server = server
        self._is_disturbed = is_disturbed
        self._rules = keys.KeyRules(clock=self, breach=self._breach)
        self._breaches = []
        self._version = FIRST_VERSION - 1
        self.now = 0.0
        self.by_name = {
            name: Account(
                name=name, weight=weight, limit=limit, keys=[f"{name}-first"]
            )
            for name, (weight, limit) in plan.ACCOUNTS.items()
        }
        self.publish()

    def publish(self):
        """Store a new version of the configuration."""
        with self._server.lock:
            self._version += 1
            route = test_daemons.MANIFEST["routes"][0] | {"host": keys.HOST}
            manifest = test_daemons.MANIFEST | {
                "version": self._version,
                "routes": [route],
                "tenants": [
                    {
                        "name": account.name,
                        "api_keys": account.keys,
                        "priority": 0,
                        "weight": account.weight,
                        "max_count": {"cpu": account.limit},
                    }
                    for account in self.by_name.values()
                ],
            }
            self._server.write_operator_record(
                pages.Topic.OPERATORS, "config", manifest
            )
            found = catalogs.decode(msgspec.json.encode(manifest))
            self.now = self._server.world.clock.now
            self._rules.add_version(found)
            self._server.world.rules.accounts.configure(found)
            self._server.note(f"configuration {self._version} stored")

    def begin(self, fault):
        """Begin a fault of the plan and return the call that ends it."""
        account = self.by_name[fault.account]
        match fault:
            case plan.Key():
                key = f"{account.name}-{self._version}"
                account.keys.append(key)
                self.publish()
                return lambda: self._remove_key(account, key)
            case plan.Limit():
                limit = account.limit
                self._set_limit(account, int(limit * fault.share))
                return lambda: self._set_limit(account, limit)
            case _:
                account.rate = fault.factor
                return lambda: setattr(account, "rate", 1.0)

    def _remove_key(self, account, key):
        account.keys.remove(key)
        account.removed.append(key)
        self.publish()

    def _set_limit(self, account, limit):
        account.limit = limit
        self.publish()

    def headers(self, key):
        """Return the headers of a call with a key."""
        return {"Host": keys.HOST, authentication.KEY_HEADER: key}

    def check(self, daemon, path, key, status, sent_at):
        """Return the findings on an answer that has just arrived.

        The versions that may be in force count from the time of sending. A
        disturbed daemon may accept by an outdated version.
        """
        with self._server.lock:
            self._server.advance()
            self.now = 1000.0 + sent_at - self._server.started_at
            self._breaches = []
            self._rules.check(path, key, status)
            return [
                f"m{daemon}, {key}, sent at {self.now:.3f}: {rule}: {place}"
                for rule, place in self._breaches
                if "outdated" not in rule
                or not self._is_disturbed(
                    daemon, sent_at - plan.DISTURBED_S, time.monotonic()
                )
            ]

    def _breach(self, rule, place):
        self._breaches.append((rule, place))

    def stands_still(self, job):
        """Return whether a task of a job waits though it has to start.

        Its account has less than half of its limit, and a host has room.
        """
        with self._server.lock:
            self._server.advance()
            rules = self._server.world.rules
            live = rules.live(job.id)
            return any(
                rules.accounts.owes_room(job, step)
                and self._has_room(job, step)
                for number, step in enumerate(job.steps)
                for index in range(step.count)
                for task in (model.TaskId(job.id, 0, number, index),)
                if not rules.is_done(task)
                and task not in live
                and not any(rules.missing_before(job, task))
            )

    def _has_room(self, job, step):
        for host in self._server.world.hosts.values():
            used = step.reserved
            for run in host.runs.values():
                used = used.plus(run.step.reserved)
            usable = host.up and not host.draining
            right = usable and host.service == job.service
            if right and used.fits(host.capacity):
                return True
        return False

"""Deployments with client accounts, and a recount of what these use."""

import collections
import dataclasses

import msgspec

from azurewood.jobs import catalog
from azurewood.jobs import model
from azurewood.scheduling import messages
from azurewood.scheduling import reducer
from standins.fleet import account_rules
from tests.scheduling import deployment

ONE = model.Step(count=1, needs=model.Resources(1000, 500, 0), estimate_ms=400)
LASTING = model.Step(
    count=1, needs=model.Resources(1000, 500, 0), long_lived=True
)


def limited(version=2, **cores):
    """Return a configuration with accounts that may use so many cores."""
    accounts = {
        name: catalog.Account(
            name=name, limit=model.Resources(count * 1000, 0, 0)
        )
        for name, count in cores.items()
    }
    return dataclasses.replace(
        deployment.CATALOG, version=version, accounts=accounts
    )


def world(*, seed=1, pools=None, **cores):
    """Return a world with three hosts whose accounts have limits.

    No earlier configuration may be in force there any more.
    """
    made = deployment.world(seed=seed, **(pools or {"s-one": 3}))
    configure(made, **cores)
    made.run(account_rules.CONFIG_S)
    return made


def configure(made, **cores):
    """Publish other limits."""
    made.configure(limited(made.catalog.version + 1, **cores))
    made.run(0.3)


def submit(made, numbers, account, *steps):
    """Submit jobs of an account; return their ids."""
    ids = []
    live = next(member for member in made.members if member.up)
    for number in numbers:
        job = deployment.job(made, number, *(steps or (ONE,)))
        made.submit(live, msgspec.structs.replace(job, account=account))
        ids.append(job.id)
    return ids


def done(made, ids):
    """Return how many of some jobs are done."""
    return len(made.rules.ended_at.keys() & set(ids))


class Lists:
    """The newest list of each host, as the world's hosts have sent them.

    A list tells of runs that the leader does not know. It counts until the
    host's next list, its next incarnation or the end of its leases.
    """

    def __init__(self):
        self._unknown = {}

    def note(self, state, event):
        """Note the list of an event that a leader has just handled."""
        host = state.hosts.get(getattr(event, "host", ""))
        if not isinstance(event, messages.LeaseRenewed) or host is None:
            return
        if host.listed_at == event.sent_at:
            listed = {(row.task, row.run) for row in event.running}
            incarnation_ms = host.incarnation.began_ms
            unknown = listed - host.runs.keys()
            self._unknown[host] = (incarnation_ms, unknown)

    def unknown(self, host, now):
        """Return the runs that a host has and its leader does not know.

        Once its leases are over, they count up to the leader's next step.
        """
        incarnation_ms, found = self._unknown.get(host, (0, frozenset()))
        if incarnation_ms != host.incarnation.began_ms:
            return set()
        if now > host.leases_expire_at:
            return found & host.listed_unknown.keys()
        return found


def recount(state, asked, lists, now):
    """Return what each account uses, found by a search of all hosts.

    The second result is what refused starts alone hold.
    """
    used = collections.defaultdict(model.Resources)
    refused = collections.defaultdict(model.Resources)
    for host in state.hosts.values():
        held = host.runs.keys() | lists.unknown(host, now)
        for key in held | host.late_starts.keys():
            job = asked[key[0].job]
            if not job.account:
                continue
            needs = job.steps[key[0].step].needs
            used[job.account] = used[job.account].plus(needs)
            if key not in held and _refuses(host, host.late_starts[key]):
                refused[job.account] = refused[job.account].plus(needs)
    return dict(used), dict(refused)


def _refuses(host, late):
    """Return whether a host has answered a later call, and goes on."""
    goes_on = (
        host.present
        and host.incarnation.synced
        and host.answered
        and host.connected_by is not None
    )
    return goes_on and late.fence < host.late_starts.refused_below


def _sums(of, accounts):
    """Return what ``of`` says of the accounts of which it says anything."""
    found = {account: of(account) for account in accounts}
    return {a: n for a, n in found.items() if n != model.Resources()}


def watch(monkeypatch, made):
    """Recount after each event; return the list of differences."""
    wrong = []
    lists = Lists()
    usual = reducer.handle_event

    def handle_event(state, event, now):
        usual(state, event, now)
        lists.note(state, event)
        expected = recount(state, made.rules.asked, lists, now)
        names = made.catalog.accounts
        found = (
            _sums(state.usage.used, names),
            _sums(state.usage.refused, names),
        )
        if found != expected:
            wrong.append((type(event).__name__, found, expected))

    monkeypatch.setattr(reducer, "handle_event", handle_event)
    return wrong


def line_fields(state, event):
    """Return the fields of a state's log lines of one kind."""
    return [
        effect.fields
        for effect in state.effects
        if getattr(effect, "event", "") == event
    ]

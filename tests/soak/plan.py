"""The faults of a run and their times, determined by its seed alone."""

import dataclasses
import random


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Signal:
    """A signal to ``count`` daemons in turn, starting with ``daemon``.

    After ``for_s`` a paused daemon is resumed and an ended one restarted.
    """

    at: float
    for_s: float
    kind: str
    daemon: int
    count: int = 1


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Cut:
    """A fault of one link: from a daemon to the platform, or to a machine."""

    at: float
    for_s: float
    kind: str
    link: str


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Store:
    """The store refuses appends or all calls, or forgets its history."""

    at: float
    for_s: float
    kind: str


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Machine:
    """A host crashes and restarts, or every run on it fails."""

    at: float
    for_s: float
    kind: str
    number: int


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Restart:
    """A host crashes, and restarts under its id ``for_s`` later.

    With ``cut_s``, nothing passes to or from the host from its crash until
    ``cut_s`` after its restart.
    """

    at: float
    for_s: float
    number: int
    cut_s: float = 0.0


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Late:
    """A ``share`` of the calls to hosts is not answered and done later.

    The ``kind`` is ``orders`` (starts and stops) or ``calls``, which also
    covers lease renewals.
    """

    at: float
    for_s: float
    kind: str
    share: float


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Reset:
    """A ``share`` of the calls to a target is carried out and reset.

    The ``target`` is ``store``, ``hosts`` or ``machines``, the ``kind`` how
    it turns calls away for a while after that.
    """

    at: float
    for_s: float
    kind: str
    target: str
    share: float


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Drain:
    """A host announces that it drains, and leaves ``for_s`` later.

    Its machine has a new host a second after that.
    """

    at: float
    for_s: float
    number: int


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Slow:
    """Each append to the store takes ``append_s``."""

    at: float
    for_s: float
    append_s: float


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Key:
    """A key of an account is added, and removed ``for_s`` later."""

    at: float
    for_s: float
    account: str


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Limit:
    """An account's limit is lowered to a ``share`` and raised again."""

    at: float
    for_s: float
    account: str
    share: float


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Burst:
    """An account sends ``factor`` times its usual."""

    at: float
    for_s: float
    account: str
    factor: float


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class SlowHost:
    """What a machine's hosts start takes ``factor`` times as long."""

    at: float
    for_s: float
    number: int
    factor: float


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class PowerLoss:
    """All daemons are killed at once and started again ``for_s`` later.

    None starts meanwhile, whatever other faults say.
    """

    at: float
    for_s: float


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Replace:
    """A host crashes for good; its machine has another ``for_s`` later."""

    at: float
    for_s: float
    number: int


FIRST_RESTART_SEED = 1000
"""Seeds from here on also draw ``Restart`` and ``Late``.

Earlier seeds keep the plans with which they once failed.
"""
FIRST_LATE_RENEWAL_SEED = 100_000
"""Seeds from here on also draw ``Late`` of all calls.

A late renewal tells a restarted host to forget ends that were not read.
"""
FIRST_RESET_SEED = 500_000
"""Seeds from here on also draw ``Reset``; even ones draw no ``Late``.

What late calls break is not mixed with what resets break.
"""
FIRST_DRAIN_SEED = 700_000
"""Seeds from here on draw ``Drain`` and ``Slow`` beside late starts and stops.

Callers cancel more. No ``Reset`` is drawn, and even ones draw no ``Restart``.
"""
FIRST_ACCOUNT_SEED = 900_000
"""Seeds from here on have client accounts, and neither resets nor restarts.

Even ones draw ``Limit`` and no ``Late``: a start that was sent before a limit
was lowered and is carried out after that exceeds the limit by no fault.
"""
FIRST_POWER_SEED = 1_000_000
"""Seeds from here on draw ``PowerLoss``, ``Replace`` and drains.

They draw ``Late`` and ``Slow`` beside these. The odd ones have client
accounts, with ``Late`` and no ``Limit``.
"""
POWER_DOWN_S = (0.5, 3.0)
BEFORE_LOSS_S = 0.3
"""Hosts that are replaced are so from this time before a loss of power on."""
ACCOUNTS = {"a": (1, 6000), "b": (2, 8000), "c": (1, 0)}
"""Weights, and limits in thousandths of a core; 0 is no limit."""
DISTURBED_S = 4.0
"""Time after a disturbance in which a daemon may know an old configuration."""
SIGNAL_STEP_S = 0.3
"""Time between the signals of one fault to several daemons."""
MAX_STOP_S = 6.0
"""Time that a daemon may take to end after SIGTERM."""
SIGNALS = ("kill", "pause", "stop", "reload")
CUTS = ("delay", "reset", "requests", "answers", "silence", "refuse")
STORES = ("no-appends", "down", "forget")
MACHINES = ("crash", "fail")
RESETS = ("busy", "many", "refuse", "silence")
RESET_SHARES = {
    "store": (0.05, 0.1, 0.3),
    "hosts": (0.05, 0.1, 0.3),
    "machines": (0.5, 1.0),
}
"""Shares by target; the pools order machines a few times in a run."""
MAX_DURATION_S = {"pause": 6.0, "delay": 4.0, "fail": 2.0}
"""Maximum duration by kind of fault; other kinds last up to 5 s.

The longest pause exceeds the leases, which is the worst case for a daemon.
"""


def draw(seed, *, seconds, daemons, machines):
    """Draw the faults of a run; they may overlap or repeat after 0.7 s."""
    rng = random.Random(seed)
    faults = []
    for _ in range(rng.randint(3, 8)):
        at = round(rng.uniform(1.0, seconds - 1.0), 2)
        faults.append(_draw_fault(rng, at, daemons, machines))
        if rng.random() < 0.3:
            faults.append(dataclasses.replace(faults[-1], at=at + 0.7))
    if seed >= FIRST_POWER_SEED:
        faults += _draw_power(rng, seconds, machines)
        faults += _draw_drains(rng, seconds, machines)
    if has_accounts(seed):
        faults += _draw_accounts(rng, seed, seconds, machines)
    if seed >= FIRST_ACCOUNT_SEED:
        return sorted(faults, key=lambda fault: fault.at)
    drains = seed >= FIRST_DRAIN_SEED
    if seed >= FIRST_RESTART_SEED:
        kinds = ("orders",)
        if seed >= FIRST_LATE_RENEWAL_SEED and not drains:
            kinds = ("orders", "calls")
        faults += _draw_restarts(rng, seconds, machines, kinds)
    if drains:
        if seed % 2 == 0:
            faults = [f for f in faults if not isinstance(f, Restart)]
        faults += _draw_drains(rng, seconds, machines)
    elif seed >= FIRST_RESET_SEED:
        if seed % 2 == 0:
            faults = [f for f in faults if not isinstance(f, Late)]
        faults += _draw_resets(rng, seconds)
    return sorted(faults, key=lambda fault: fault.at)


def has_accounts(seed):
    """Return whether a seed's callers have client accounts."""
    if seed >= FIRST_POWER_SEED:
        return seed % 2 == 1
    return seed >= FIRST_ACCOUNT_SEED


def cancel_share(seed):
    """Return how often callers cancel a job, by turns of their loop."""
    return 0.3 if seed >= FIRST_DRAIN_SEED else 0.1


def disturbs(fault, *, daemon, daemons, since, until):
    """Return whether a fault disturbs a daemon within a time."""
    begin, for_s = fault.at, fault.for_s
    match fault:
        case Signal():
            step = (daemon - fault.daemon) % daemons
            hit = step < fault.count
            begin += SIGNAL_STEP_S * step
            if fault.kind == "stop":
                for_s += MAX_STOP_S
        case Cut():
            hit = fault.link == f"daemon-{daemon}"
        case _:
            hit = isinstance(fault, (Store, PowerLoss))
    return hit and begin <= until and since <= begin + for_s


def _draw_accounts(rng, seed, seconds, machines):
    """Draw changes of keys and limits, a burst, and slow hosts."""
    for _ in range(rng.randint(3, 6)):
        yield Key(
            at=round(rng.uniform(0.5, seconds * 0.6), 2),
            for_s=round(rng.uniform(0.5, seconds * 0.4), 2),
            account=rng.choice(list(ACCOUNTS)),
        )
    yield Burst(
        at=round(rng.uniform(1.0, seconds * 0.6), 2),
        for_s=round(rng.uniform(2.0, 6.0), 2),
        account=rng.choice(list(ACCOUNTS)),
        factor=rng.choice((3.0, 6.0, 12.0)),
    )
    for number in rng.sample(range(machines), rng.randint(1, 2)):
        factor = rng.choice((3.0, 5.0))
        yield SlowHost(at=0.0, for_s=seconds, number=number, factor=factor)
    if seed % 2 == 0:
        yield Limit(
            at=round(rng.uniform(1.0, seconds * 0.6), 2),
            for_s=round(rng.uniform(2.0, 8.0), 2),
            account=rng.choice(
                [n for n, (_, most) in ACCOUNTS.items() if most]
            ),
            share=rng.choice((0.34, 0.5)),
        )
    else:
        yield Late(
            at=round(rng.uniform(1.0, seconds - 1.0), 2),
            for_s=round(rng.uniform(2.0, 10.0), 2),
            kind="orders",
            share=rng.choice((0.1, 0.3, 0.5)),
        )


def _draw_power(rng, seconds, machines):
    """Draw losses of all daemons, some in series, and what goes with them.

    The store is slow around each, starts are late before it, and hosts are
    replaced from shortly before it to its end.
    """
    at = rng.uniform(3.0, seconds * 0.6)
    for _ in range(rng.choice((1, 1, 2, 3))):
        if at > seconds - 1.0:
            return
        for_s = rng.uniform(*POWER_DOWN_S)
        yield PowerLoss(at=round(at, 2), for_s=round(for_s, 2))
        yield Slow(
            at=round(at - rng.uniform(0.5, 2.0), 2),
            for_s=round(rng.uniform(1.0, 6.0), 2),
            append_s=rng.choice((0.1, 0.3, 0.6)),
        )
        yield Late(
            at=round(at - rng.uniform(0.5, 2.0), 2),
            for_s=round(rng.uniform(2.0, 5.0), 2),
            kind="orders",
            share=rng.choice((0.1, 0.3, 0.5)),
        )
        for number in rng.sample(range(machines), rng.randint(0, 2)):
            yield Replace(
                at=round(at + rng.uniform(-BEFORE_LOSS_S, for_s), 2),
                for_s=round(rng.choice((0.0, rng.uniform(0.2, 3.0))), 2),
                number=number,
            )
        at += for_s + rng.uniform(0.3, 4.0)


def _draw_drains(rng, seconds, machines):
    """Draw hosts that drain, and times in which the store is slow."""
    for _ in range(rng.randint(3, 7)):
        yield Drain(
            at=round(rng.uniform(1.0, seconds - 1.0), 2),
            for_s=round(rng.uniform(2.0, 8.0), 2),
            number=rng.randrange(machines),
        )
    for _ in range(rng.randint(1, 3)):
        yield Slow(
            at=round(rng.uniform(1.0, seconds - 1.0), 2),
            for_s=round(rng.uniform(2.0, 8.0), 2),
            append_s=rng.choice((0.1, 0.3, 0.6)),
        )


def _draw_resets(rng, seconds):
    """Draw times in which calls are reset."""
    for _ in range(rng.randint(3, 6)):
        target = rng.choice(("store", "store", "hosts", "machines"))
        yield Reset(
            at=round(rng.uniform(1.0, seconds - 1.0), 2),
            for_s=round(rng.uniform(1.0, 6.0), 2),
            kind=rng.choice(RESETS),
            target=target,
            share=rng.choice(RESET_SHARES[target]),
        )


def _draw_restarts(rng, seconds, machines, kinds):
    """Draw restarts of hosts, and times in which calls are done late."""
    for _ in range(rng.randint(1, 3)):
        yield Late(
            at=round(rng.uniform(1.0, seconds - 1.0), 2),
            for_s=round(rng.uniform(2.0, 10.0), 2),
            kind=rng.choice(kinds),
            share=rng.choice((0.1, 0.3, 0.5)),
        )
    for _ in range(rng.randint(3, 8)):
        down_s = rng.choice((0.0, rng.uniform(0.0, 3.0)))
        cut_s = rng.choice((0.0, rng.uniform(0.2, 3.0)))
        yield Restart(
            at=round(rng.uniform(1.0, seconds - 1.0), 2),
            for_s=round(down_s, 2),
            number=rng.randrange(machines),
            cut_s=round(cut_s, 2),
        )


def _draw_fault(rng, at, daemons, machines):
    kind = rng.choice(("signal", "signal", "cut", "cut", "store", "machine"))
    match kind:
        case "signal":
            what = rng.choice(SIGNALS)
            return Signal(
                at=at,
                for_s=_draw_duration(rng, what),
                kind=what,
                daemon=rng.randrange(daemons),
                count=rng.choice((1, 1, 2, daemons)),
            )
        case "cut":
            what = rng.choice(CUTS)
            names = [f"daemon-{n}" for n in range(daemons)]
            names += [f"machine-{n}" for n in range(machines)]
            link = rng.choice(names)
            return Cut(
                at=at, for_s=_draw_duration(rng, what), kind=what, link=link
            )
        case "store":
            what = rng.choice(STORES)
            return Store(at=at, for_s=_draw_duration(rng, what), kind=what)
        case _:
            what = rng.choice(MACHINES)
            number = rng.randrange(machines)
            return Machine(
                at=at,
                for_s=_draw_duration(rng, what),
                kind=what,
                number=number,
            )


def _draw_duration(rng, kind):
    longest = MAX_DURATION_S.get(kind, 5.0)
    return round(rng.uniform(0.2, longest), 2)

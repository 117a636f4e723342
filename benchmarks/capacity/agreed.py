"""Measure size, packing and folding of the agreed state, by contents."""

import itertools
import typing
import zlib

from azurewood.state import agreed as agreed_state
from azurewood.state import records
from benchmarks.capacity import fleets
from benchmarks.capacity import results
from benchmarks.capacity import timing

POOL_SIZES = (5, 10, 20, 37)
CLAIM_SIZES = (0, 5000, 20000, 50000)
CLAIM_FOLD_SIZES = (100, 1000, 10000, 50000)
US_PER_MS = 1000
FOLDS = 40


def measure() -> typing.Iterator[results.Table]:
    """Measure the agreed state and the fold."""
    yield by_hosts()
    yield by_pools()
    yield by_claims()
    yield fold_by_hosts()
    yield fold_claims()
    yield records_table()


def _size_row(size: int, state: agreed_state.Agreed) -> list[results.Cell]:
    plain = agreed_state.encode(state)
    packed = agreed_state.pack(state)
    _, kept = timing.allocated(lambda: agreed_state.unpack(packed))
    return [
        size,
        kept,
        len(plain),
        len(packed),
        timing.cpu_us(lambda: agreed_state.pack(state)) / US_PER_MS,
        timing.cpu_us(lambda: agreed_state.unpack(packed)) / US_PER_MS,
    ]


def _size_table(
    name: str, title: str, size: str, rows: list[list[results.Cell]]
) -> results.Table:
    table = results.Table(
        name=name,
        title=title,
        columns=[
            size,
            "memory, B",
            "encoded, B",
            "packed, B",
            "pack, ms",
            "unpack, ms",
        ],
        rows=rows,
    )
    for column in table.columns[1:]:
        table.add_fit(size, column)
    return table


def by_hosts() -> results.Table:
    """Measure the agreed state by number of hosts, all of them serving."""
    rows = [
        _size_row(size, fleets.log(fleets.fleet(hosts=size)).state)
        for size in fleets.SIZES
    ]
    return _size_table(
        "state-hosts",
        "Agreed state against hosts, 37 pools, no claims",
        "hosts",
        rows,
    )


def by_pools() -> results.Table:
    """Measure the agreed state by number of pools."""
    rows = [
        _size_row(size, fleets.log(fleets.fleet(pools=size)).state)
        for size in POOL_SIZES
    ]
    return _size_table(
        "state-pools", "Agreed state against pools, 3,700 hosts", "pools", rows
    )


def claim(key: str, base: int = 0) -> records.Proposal:
    """Propose a claim."""
    return records.Proposal(
        object=records.claim_object(key),
        base=base,
        change=records.Claim(service="service-01"),
    )


def settle(key: str, base: int) -> records.Proposal:
    """Propose to settle a claim as run, without a stored answer."""
    change = records.SettleClaim(phase=records.ClaimPhase.RAN, status=200)
    return records.Proposal(
        object=records.claim_object(key), base=base, change=change
    )


def claim_key(number: int) -> str:
    """Return the key of a claim, with an idempotency key of UUID length."""
    spread = number * 0x9E3779B97F4A7C15 % (1 << 64)
    return f"service-01/{spread:016x}-{number:016x}"


def fold_settled_claims(log: fleets.Log, count: int) -> None:
    """Fold ``count`` claims and their settlements into the log's state."""
    for number in range(count):
        key = claim_key(number)
        log.fold(claim(key))
        log.fold(settle(key, log.state.claims[key].revision))


def by_claims() -> results.Table:
    """Measure the agreed state by number of stored claims."""
    rows = []
    for size in CLAIM_SIZES:
        log = fleets.log(fleets.fleet(hosts=fleets.HOSTS))
        fold_settled_claims(log, size)
        rows.append(_size_row(size, log.state))
    return _size_table(
        "state-claims",
        "Agreed state against settled claims, 3,700 hosts",
        "claims",
        rows,
    )


def _host_changes(
    log: fleets.Log, name: str
) -> typing.Iterator[records.Proposal]:
    """Yield the changes of a host during a move and then maintenance."""
    pools = [pool.name for pool in log.state.fleet.pools]
    place = pools.index(log.state.hosts[name].pool)
    target = pools[(place + 1) % len(pools)]
    for change in (
        records.MoveHost(to_pool=target, reason="demand", drain_ms=30000),
        records.ReleaseHost(),
        records.MarkServing(),
        records.DrainHost(reason="maintenance", drain_ms=30000),
        records.MarkDown(),
        records.ReturnHost(reason="rebooted"),
        records.MarkServing(),
    ):
        yield fleets.host_proposal(log.state, name, change)


def _fold_us(log: fleets.Log, proposal: records.Proposal) -> float:
    """Return the CPU time of decoding and folding a one-proposal record."""
    data = records.encode(log.record(proposal))
    return timing.cpu_us(
        lambda: log.fold_record(records.decode(data)), repeats=1
    )


def _host_folds(log: fleets.Log) -> dict[str, float]:
    spent: dict[str, list[float]] = {}
    for name in itertools.islice(log.state.hosts, FOLDS):
        for proposal in _host_changes(log, name):
            kind = type(proposal.change).__name__
            spent.setdefault(kind, []).append(_fold_us(log, proposal))
    return {kind: _median(values) for kind, values in spent.items()}


def _median(values: list[float]) -> float:
    return sorted(values)[len(values) // 2]


def _config_folds(log: fleets.Log) -> dict[str, float]:
    state = log.state
    edits, uses = [], []
    for _ in range(FOLDS):
        edit = records.Proposal(
            object=records.preset_object("peak"),
            base=state.presets["peak"].revision,
            change=records.EditPreset(preset=fleets.preset()),
        )
        use = records.Proposal(
            object=records.IN_FORCE,
            base=state.in_force_revision,
            change=records.UsePreset(name="peak"),
        )
        edits.append(_fold_us(log, edit))
        uses.append(_fold_us(log, use))
    return {"EditPreset": _median(edits), "UsePreset": _median(uses)}


def _publish_fold(log: fleets.Log) -> dict[str, float]:
    spent = []
    for _ in range(3):
        proposal = records.Proposal(
            object=records.FLEET,
            base=log.state.fleet_revision,
            change=records.PublishFleet(fleet=log.state.fleet),
        )
        spent.append(_fold_us(log, proposal))
    return {"PublishFleet": _median(spent)}


def fold_by_hosts() -> results.Table:
    """Measure decoding and folding a record, by kind and number of hosts."""
    rows = []
    kinds: list[str] = []
    for size in fleets.SIZES:
        log = fleets.log(fleets.fleet(hosts=size))
        spent = _host_folds(log) | _config_folds(log) | _publish_fold(log)
        kinds = list(spent)
        rows.append([size, *spent.values()])
    table = results.Table(
        name="fold",
        title="Decoding and folding a record of one proposal, µs of CPU",
        columns=["hosts", *kinds],
        rows=rows,
    )
    for kind in kinds:
        table.add_fit("hosts", kind)
    return table


def fold_claims() -> results.Table:
    """Measure folding claims, by number of stored claims."""
    rows = []
    log = fleets.log(fleets.fleet(hosts=fleets.SIZES[0]))
    number = itertools.count()
    for size in CLAIM_FOLD_SIZES:
        while len(log.state.claims) < size:
            log.fold(claim(claim_key(next(number))))
        keys = [claim_key(next(number)) for _ in range(FOLDS)]
        held = [_fold_us(log, claim(key)) for key in keys]
        ended = [
            _fold_us(log, settle(key, log.state.claims[key].revision))
            for key in keys
        ]
        rows.append([size, _median(held), _median(ended)])
    table = results.Table(
        name="fold-claims",
        title="Decoding and folding a claim's record, µs of CPU",
        columns=["claims", "Claim", "SettleClaim"],
        rows=rows,
    )
    table.add_fit("claims", "Claim")
    table.add_fit("claims", "SettleClaim")
    return table


def records_table() -> results.Table:
    """Return the size of each kind of record, with 3,700 hosts."""
    log = fleets.log(fleets.fleet())
    name = next(iter(log.state.hosts))
    found: dict[str, bytes] = {}
    for proposal in _host_changes(log, name):
        kind = type(proposal.change).__name__
        found[kind] = records.encode(log.fold(proposal))
    key = claim_key(1)
    for proposal in (
        claim(key),
        settle(key, 5000),
        records.Proposal(
            object=records.preset_object("peak"),
            base=4000,
            change=records.EditPreset(preset=fleets.preset()),
        ),
        records.Proposal(
            object=records.IN_FORCE,
            base=4000,
            change=records.UsePreset(name="peak"),
        ),
        fleets.publish(log.state.fleet),
    ):
        kind = type(proposal.change).__name__
        found[kind] = records.encode(log.record(proposal))
    return results.Table(
        name="record-bytes",
        title="Bytes of a record of one proposal, 3,700 hosts",
        columns=["kind", "bytes", "deflated"],
        rows=[
            [kind, len(data), len(zlib.compress(data))]
            for kind, data in found.items()
        ],
    )

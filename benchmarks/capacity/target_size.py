"""Compute costs at the target fleet size from the measured slopes."""

import math

from benchmarks.capacity import fleets
from benchmarks.capacity import results

Tables = dict[str, results.Table]

DAY_S = 86400
CHANGES_A_DAY = 1600
RESTARTS_A_DAY = 500
FAILURES_A_DAY = 19
MAINTENANCE_DAYS = 49
MOVES_A_POOL_A_DAY = 24
RECORDS_PER_RESTART = 4
"""Records of a host restart: drained, down, returned, serving."""

RECORDS_PER_MOVE = 3
VERSIONS_PER_RESTART = 3
"""Host list versions of a host restart: leaving, gone, live."""

SNAPSHOTS_A_DAY = 144
POLL_S = 5
RENEW_S = 5
TASK_ID_BYTES = 20
LIMIT_CORE = 2.4
LIMIT_MIB = 128
LIMIT_KB_S = 6.0
LIMIT_APPENDS = 300
LIMIT_RECORD = 1 << 20
DAEMONS = 110
CORE_SHARE = 0.5
REQUESTS_A_WORKER = (1, 5, 10, 20)
CLAIM_RATES = (1, 2, 5, 10, 150)
READS_A_S = 5


def derive(tables: Tables) -> Tables:
    """Return the measured tables and those computed for the target size."""
    known = dict(tables)
    for build in (
        sizes,
        appends_table,
        claims,
        control,
        entry_daemons,
    ):
        table = build(known)
        known[table.name] = table
    return known


def sizes(tables: Tables) -> results.Table:
    """Return the required sizes and limits of the fleet."""
    given = {
        "workers": fleets.HOSTS,
        "accelerators": 2 * fleets.HOSTS,
        "pools": fleets.POOLS,
        "teams": fleets.TEAMS,
        "availability zones": fleets.ZONES,
        "regions": fleets.REGIONS,
        "configuration changes a day": CHANGES_A_DAY,
        "hosts restarted or replaced a day": RESTARTS_A_DAY,
        "hosts failed a day": FAILURES_A_DAY,
        "days in which every host is maintained once": MAINTENANCE_DAYS,
        "slots a worker": 8,
        "connections a worker": 64,
        "limit: % of a core a daemon for control": LIMIT_CORE,
        "limit: MiB a daemon for control": LIMIT_MIB,
        "limit: KB/s a daemon for control": LIMIT_KB_S,
        "limit: s until a change is in force": 4,
        "limit: s until an urgent request starts": 9.7,
        "limit: appends a second": LIMIT_APPENDS,
        "limit: B a record of the log": LIMIT_RECORD,
    }
    return results.Table(
        name="sizes",
        title="Sizes and limits given",
        columns=["what", "figure"],
        rows=[[what, figure] for what, figure in given.items()],
    )


def appends_table(tables: Tables) -> results.Table:
    """Return how many records are appended per day, without claims."""
    maintained = fleets.HOSTS / MAINTENANCE_DAYS
    sources = (
        ("configuration changes", CHANGES_A_DAY, 1),
        ("hosts restarted or replaced", RESTARTS_A_DAY, RECORDS_PER_RESTART),
        ("hosts failed", FAILURES_A_DAY, RECORDS_PER_RESTART),
        ("hosts maintained", maintained, RECORDS_PER_RESTART),
        (
            "moves (assumed: one a pool and hour)",
            fleets.POOLS * MOVES_A_POOL_A_DAY,
            RECORDS_PER_MOVE,
        ),
        ("snapshots", SNAPSHOTS_A_DAY, 1),
    )
    rows: list[list[results.Cell]] = [
        [what, count, each, count * each, count * each / DAY_S]
        for what, count, each in sources
    ]
    total = sum(float(row[3]) for row in rows)
    rows.append(["all", "", "", total, total / DAY_S])
    zone = math.ceil(fleets.HOSTS / fleets.ZONES)
    rows.append(
        [
            "a whole zone's hosts at once, spread over 60 s",
            zone,
            RECORDS_PER_RESTART,
            zone * RECORDS_PER_RESTART,
            zone * RECORDS_PER_RESTART / 60,
        ]
    )
    return results.Table(
        name="log-load",
        title="Records appended, without claims",
        columns=["source", "a day", "records each", "records", "a second"],
        rows=rows,
    )


def claims(tables: Tables) -> results.Table:
    """Return the cost of claims for the log and for each daemon."""
    reads = tables["log-reads"].fit("bytes")
    appends = tables["appends"].fit("record, B")
    state = tables["state-claims"]
    rows = []
    for rate in CLAIM_RATES:
        alone = 2 * rate
        batched = min(alone, READS_A_S)
        kept = min(rate * DAY_S, 200_000)
        rows.append(
            [
                rate,
                alone,
                alone * reads.slope / 1000,
                batched * reads.slope / 1000 + alone * appends.slope / 1000,
                kept,
                state.fit("memory, B").slope * kept / (1 << 20),
                state.fit("packed, B").slope * kept / 1000,
            ]
        )
    return results.Table(
        name="claims-load",
        title="Claims (two records each), read by every daemon",
        columns=[
            "claims a second",
            "appends a second",
            "read by each daemon, KB/s",
            "read 5 times a second, KB/s",
            "kept (a day, at most 200,000)",
            "memory, MiB",
            "in a snapshot, KB",
        ],
        rows=rows,
    )


def _lists_kb_s(tables: Tables) -> float:
    changes = RESTARTS_A_DAY + FAILURES_A_DAY
    versions = (
        changes + fleets.HOSTS / MAINTENANCE_DAYS
    ) * VERSIONS_PER_RESTART
    return tables["host-list"].last("bytes") * versions / DAY_S / 1000


def control(tables: Tables) -> results.Table:
    """Return one daemon's control traffic and CPU at the target size."""
    records = tables["log-load"].at("source", "all", "a second")
    polls = sum(float(cell) for cell in tables["idle-polls"].column("bytes"))
    idle = polls / POLL_S / 1000
    log = records * tables["log-reads"].fit("bytes").slope / 1000
    changed = tables["control-daemons"]
    base = tables["daemon-hosts"].last("core, %")
    packed = tables["state-hosts"].last("packed, B")
    snapshots = packed * SNAPSHOTS_A_DAY / DAY_S / 1000
    rows = []
    for daemons in tables["owners"].column("daemons"):
        exchanged = tables["heartbeats-deployment"]
        beat_kb = exchanged.at("daemons", daemons, "the busiest, KB/s")
        beats = tables["heartbeats"]
        beat_core = beats.at("daemons", daemons, "core, %")
        leases = fleets.HOSTS / float(daemons) * TASK_ID_BYTES / RENEW_S / 1000
        lists = _lists_kb_s(tables)
        host_ms = changed.at("daemons", daemons, "a host changed")
        change_core = records * host_ms / 10
        total = beat_kb + idle + log + lists + leases + snapshots
        rows.append(
            [
                daemons,
                beat_kb,
                idle,
                log,
                lists,
                leases,
                snapshots,
                total,
                base,
                beat_core,
                change_core,
                base + beat_core + change_core,
            ]
        )
    return results.Table(
        name="control-total",
        title="One daemon's control work at the fleet's size, without claims",
        columns=[
            "daemons",
            "heartbeats, KB/s",
            "idle polls, KB/s",
            "log, KB/s",
            "host list, KB/s",
            "leases, KB/s",
            "snapshots, KB/s",
            "all, KB/s",
            "idle daemon, core %",
            "heartbeats, core %",
            "host changes, core %",
            "all, core %",
        ],
        rows=rows,
        note=(
            "The idle daemon is the real process alone with 3,700 hosts, its "
            "ticks and polls; the other columns come on top. One daemon of "
            "all writes the snapshots; it is the one shown."
        ),
    )


def entry_daemons(tables: Tables) -> results.Table:
    """Return how many entry daemons a rate of requests needs."""
    each = tables["entry-requests"].fit("daemon's CPU, ms").slope
    rows = []
    for rate in REQUESTS_A_WORKER:
        total = rate * fleets.HOSTS
        cores = total * each / 1000
        needed = math.ceil(cores / CORE_SHARE)
        spread = max(3, math.ceil(needed / fleets.ZONES)) * fleets.ZONES
        rows.append([rate, total, cores, needed, spread])
    return results.Table(
        name="entry-daemons",
        title=(
            "Entry daemons for a rate of requests (assumed), each at half of "
            "the one core that it can use"
        ),
        columns=[
            "requests a second a worker",
            "requests a second",
            "cores",
            "daemons",
            "daemons, 3 or more a zone",
        ],
        rows=rows,
    )

"""Build the table of what each role costs at the target fleet size."""

from benchmarks.capacity import fleets
from benchmarks.capacity import results

DAEMONS = 110
REQUESTS_A_WORKER = 5
POLL_S = 5
POLLED = 3
MIB = 1 << 20
CHANGES_A_S = 1600 / 86400
NOT_MEASURED = "not measured"

Tables = dict[str, results.Table]


def table(tables: Tables) -> results.Table:
    """Return each role's state, messages, CPU, memory and mechanism."""
    traffic = tables["control-total"]
    rows = [
        _request_path(tables),
        _control(tables, traffic),
        _peers(tables),
        _streams(tables, traffic),
        _client(tables),
    ]
    return results.Table(
        name="roles",
        title=f"Each role in one of {DAEMONS} daemons, at the fleet's size",
        columns=[
            "role",
            "state",
            "messages a second",
            "KB/s",
            "core, %",
            "memory, MiB",
            "mechanism",
        ],
        rows=rows,
        note=(
            f"The request path at an assumed {REQUESTS_A_WORKER} requests a "
            "second a worker, spread evenly. The control part's memory is "
            "the whole process, its core the idle process; the state alone "
            "is in the table of the agreed state."
        ),
    )


def _request_path(tables: Tables) -> list[results.Cell]:
    owners = tables["owners"]
    slots = int(owners.at("daemons", DAEMONS, "slots a daemon, most"))
    rate = REQUESTS_A_WORKER * fleets.HOSTS / DAEMONS
    each_ms = tables["entry-requests"].fit("daemon's CPU, ms").slope
    return [
        "request path",
        f"requests in hand, {slots:,} slots",
        rate,
        NOT_MEASURED,
        rate * each_ms / 10,
        NOT_MEASURED,
        "slots owned by rendezvous hashing, a random ready host",
    ]


def _control(tables: Tables, traffic: results.Table) -> list[results.Cell]:
    lists = traffic.at("daemons", DAEMONS, "host list, KB/s")
    leases = traffic.at("daemons", DAEMONS, "leases, KB/s")
    core = traffic.at("daemons", DAEMONS, "idle daemon, core %")
    changes = traffic.at("daemons", DAEMONS, "host changes, core %")
    return [
        "control part",
        f"agreed state and view of {fleets.HOSTS:,} hosts",
        tables["log-load"].at("source", "all", "a second"),
        lists + leases,
        core + changes,
        tables["daemon-hosts"].last("RSS, MiB"),
        "fold of the log, view by what changed, stewards by hashing",
    ]


def _peers(tables: Tables) -> list[results.Cell]:
    beats = tables["heartbeats"]
    rss = tables["daemon-peers"]
    return [
        "peers",
        f"{DAEMONS - 1} daemons at the most",
        2 * beats.at("daemons", DAEMONS, "sent a second"),
        tables["heartbeats-deployment"].at(
            "daemons", DAEMONS, "the busiest, KB/s"
        ),
        beats.at("daemons", DAEMONS, "core, %"),
        rss.last("RSS, MiB") - float(rss.column("RSS, MiB")[0]),
        "heartbeats spaced by a budget of bytes",
    ]


def _streams(tables: Tables, traffic: results.Table) -> list[results.Cell]:
    idle = traffic.at("daemons", DAEMONS, "idle polls, KB/s")
    log = traffic.at("daemons", DAEMONS, "log, KB/s")
    snapshots = traffic.at("daemons", DAEMONS, "snapshots, KB/s")
    spent = tables["idle-polls"].column("CPU, µs")
    return [
        "the log's streams",
        "the last records, kept for peers",
        POLLED / POLL_S + tables["log-load"].at("source", "all", "a second"),
        idle + log + snapshots,
        sum(float(cell) for cell in spent) / POLL_S / 10_000,
        NOT_MEASURED,
        "long polls; proposals that wait share a record",
    ]


def _client(tables: Tables) -> list[results.Cell]:
    size = tables["record-bytes"].at("kind", "EditPreset", "bytes")
    return [
        "operators' client (all of a day's changes)",
        "none",
        CHANGES_A_S,
        CHANGES_A_S * size / 1000,
        NOT_MEASURED,
        NOT_MEASURED,
        "a proposal based on an object's revision, asked again by its id",
    ]

"""Measure bytes and CPU time of long polls of the platform's API."""

import typing

import pycurl

from azurewood.provider import base
from azurewood.provider import hosts as host_lists
from azurewood.provider import log as logs
from azurewood.provider import tasks as task_lists
from azurewood.state import records
from benchmarks.capacity import agreed
from benchmarks.capacity import fleets
from benchmarks.capacity import results
from benchmarks.capacity import timing
from standins import client as clients
from standins import processes

READ_SIZES = (50, 100, 200, 400)
BATCH_SIZES = (1, 4, 16, 64)
SEGMENTS_BYTES = 4 * 52
"""IPv4 and TCP headers of request, response and the ACK of each."""
SEGMENT_BYTES = 1448
LONG_TIMEOUT_MS = 3_600_000
STREAM = "capacity"


def measure(procs: processes.Processes) -> typing.Iterator[results.Table]:
    """Measure log and list reads against the platform stand-in."""
    _, url = procs.start_platform(
        *("--host-list-lag-ms", "0"),
        *("--heartbeat-timeout-ms", str(LONG_TIMEOUT_MS)),
        *("--appends-per-s", "100000"),
    )
    yield reads(url)
    yield idle_polls(url)
    yield appends(url)
    yield host_list(url)


class CountingConnection(base.Connection):
    """A connection that counts the bytes of its calls."""

    __slots__ = ("total",)

    def __init__(self, *, url: str) -> None:
        super().__init__(url=url, zone=fleets.zone_name(0))
        self.total = 0

    def call(self, *args: typing.Any, **kwargs: typing.Any) -> base.Answer:
        """Send a request and count its bytes, the answer's and all headers."""
        answer = super().call(*args, **kwargs)
        down = self._curl.getinfo(pycurl.HEADER_SIZE) + len(answer.body)
        up = self._curl.getinfo(pycurl.REQUEST_SIZE)
        segments = max(0, (down + up) // SEGMENT_BYTES)
        self.total += up + down + SEGMENTS_BYTES + segments * 2 * 52
        return answer


def _move_records(count: int) -> list[bytes]:
    log = fleets.log(fleets.fleet(hosts=max(100, count)))
    names = list(log.state.hosts)[:count]
    change = records.MoveHost(
        to_pool="pool-01", reason="demand", drain_ms=30000
    )
    return [
        records.encode(
            log.record(fleets.host_proposal(log.state, name, change))
        )
        for name in names
    ]


def reads(url: str) -> results.Table:
    """Measure reading records one by one, as at the end of the log."""
    caller = clients.Client(url=url)
    for data in _move_records(max(READ_SIZES)):
        caller.append(STREAM, data)
    meter = CountingConnection(url=url)
    client = logs.LogClient(conn=meter, stream=STREAM)
    client.read(0, wait_ms=0)
    limit, logs.READ_LIMIT = logs.READ_LIMIT, 1
    try:
        rows = [_read_row(client, meter, size) for size in READ_SIZES]
    finally:
        logs.READ_LIMIT = limit
    table = results.Table(
        name="log-reads",
        title="Reading host changes from the log, a long poll each",
        columns=["records", "bytes", "CPU, µs"],
        rows=rows,
    )
    table.add_fit("records", "bytes")
    table.add_fit("records", "CPU, µs")
    return table


def _read_row(
    client: logs.LogClient, meter: CountingConnection, size: int
) -> list[results.Cell]:
    def run() -> None:
        for offset in range(size):
            client.read(offset, wait_ms=1000)

    before = meter.total
    spent = timing.process_us(run)
    return [size, meter.total - before, spent]


def idle_polls(url: str) -> results.Table:
    """Measure a long poll of each stream that returns nothing new."""
    meter = CountingConnection(url=url)
    log = logs.LogClient(conn=meter, stream=STREAM)
    hosts = host_lists.HostListClient(conn=meter)
    tasks = task_lists.TaskClient(conn=meter)
    end = max(READ_SIZES)
    polls = {
        "log": lambda: log.read(end, wait_ms=1),
        "host list": lambda: hosts.read(0, wait_ms=1),
        "task list": lambda: tasks.read(0, wait_ms=1),
    }
    rows = []
    for name, poll in polls.items():
        poll()
        before = meter.total
        spent = timing.process_us(lambda poll=poll: [poll() for _ in "x" * 50])
        rows.append([name, (meter.total - before) / 50, spent / 50])
    return results.Table(
        name="idle-polls",
        title="One long poll with nothing new; each is repeated after 5 s",
        columns=["stream", "bytes", "CPU, µs"],
        rows=rows,
    )


def appends(url: str) -> results.Table:
    """Measure appends of claims with several proposals per record."""
    log = fleets.log(fleets.fleet(hosts=100))
    meter = CountingConnection(url=url)
    client = logs.LogClient(conn=meter, stream=f"{STREAM}-claims")
    rows = []
    for size in BATCH_SIZES:
        proposals = [
            agreed.claim(agreed.claim_key(number)) for number in range(size)
        ]
        data = records.encode(log.record(*proposals))
        client.append(data, timeout_s=2.0)
        before = meter.total
        spent = timing.process_us(
            lambda data=data: [
                client.append(data, timeout_s=2.0) for _ in range(20)
            ]
        )
        rows.append([size, len(data), (meter.total - before) / 20, spent / 20])
    table = results.Table(
        name="appends",
        title="Appending one record of claims",
        columns=["claims a record", "record, B", "bytes", "CPU, µs"],
        rows=rows,
    )
    for column in table.columns[1:]:
        table.add_fit("claims a record", column)
    return table


def host_list(url: str) -> results.Table:
    """Measure reading the whole host list, as after any change."""
    caller = clients.Client(url=url)
    meter = CountingConnection(url=url)
    client = host_lists.HostListClient(conn=meter)
    rows = []
    registered = 0
    for size in fleets.SIZES:
        for number in range(registered, size):
            caller.post(
                "/v1/hosts",
                name=f"w{number:04d}",
                address="127.0.0.1",
                control_port=1,
            )
        registered = size
        before = meter.total
        spent = timing.process_us(lambda: client.read(0, wait_ms=0))
        rows.append([size, meter.total - before, spent])
    table = results.Table(
        name="host-list",
        title="Reading the host list after any change",
        columns=["hosts", "bytes", "CPU, µs"],
        rows=rows,
    )
    table.add_fit("hosts", "bytes")
    table.add_fit("hosts", "CPU, µs")
    return table

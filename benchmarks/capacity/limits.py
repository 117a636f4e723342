"""Compare the limits for the target size with the measured figures."""

import dataclasses
import typing

from benchmarks.capacity import results
from benchmarks.capacity import target_size

KEPT_CLAIMS = 200_000
MIB = 1 << 20
NO_LIMIT = "none given"

Tables = dict[str, results.Table]


@dataclasses.dataclass(slots=True, kw_only=True)
class Row:
    """A limit and a figure; the figure is empty if it is not measured."""

    what: str
    limit: results.Cell = NO_LIMIT
    found: results.Cell = ""
    source: str = ""

    def cells(self) -> list[results.Cell]:
        """Return the cells of the table."""
        return [
            self.what,
            self.limit,
            self.found,
            self._verdict(),
            self.source,
        ]

    def _verdict(self) -> str:
        if isinstance(self.found, str):
            return "not measured here"
        if isinstance(self.limit, str):
            return "no limit given"
        return "met" if self.found <= self.limit else "EXCEEDED"


Rows = typing.Iterator[Row]


def table(tables: Tables) -> results.Table:
    """Return all limits with figures of measured and derived tables."""
    rows = (
        *_control(tables),
        *_memory(tables),
        *_appends(tables),
        *_record_sizes(tables),
        *_reading(tables),
        *_starts(tables),
        Row(what="a change in force, s", limit=4),
        Row(what="an urgent request's start, s", limit=9.7),
    )
    return results.Table(
        name="limits",
        title="Limits, and the figures at the fleet's size",
        columns=["what", "limit", "figure", "verdict", "table"],
        rows=[row.cells() for row in rows],
    )


def _control(tables: Tables) -> Rows:
    traffic = tables["control-total"]
    for daemons in traffic.column("daemons"):
        yield Row(
            what=f"control, % of a core, {daemons} daemons",
            limit=target_size.LIMIT_CORE,
            found=traffic.at("daemons", daemons, "all, core %"),
            source="control-total",
        )
        yield Row(
            what=f"control, KB/s, {daemons} daemons",
            limit=target_size.LIMIT_KB_S,
            found=traffic.at("daemons", daemons, "all, KB/s"),
            source="control-total",
        )


def _memory(tables: Tables) -> Rows:
    memory = tables["daemon-hosts"].last("RSS, MiB")
    per_claim = tables["state-claims"].fit("memory, B").slope
    yield Row(
        what="memory, MiB, no claims",
        limit=target_size.LIMIT_MIB,
        found=memory,
        source="daemon-hosts",
    )
    yield Row(
        what=f"memory, MiB, {KEPT_CLAIMS:,} claims kept",
        limit=target_size.LIMIT_MIB,
        found=memory + per_claim * KEPT_CLAIMS / MIB,
        source="daemon-hosts, state-claims",
    )


def _appends(tables: Tables) -> Rows:
    load = tables["log-load"]
    claimed = tables["claims-load"]
    most = target_size.CLAIM_RATES[-1]
    for what, found, source in (
        ("a day", load.at("source", "all", "a second"), load),
        ("a zone at once", float(load.rows[-1][-1]), load),
        (f"{most} claims a second", claimed.last("appends a second"), claimed),
    ):
        yield Row(
            what=f"appends a second, {what}",
            limit=target_size.LIMIT_APPENDS,
            found=found,
            source=source.name,
        )


def _record_sizes(tables: Tables) -> Rows:
    claims = tables["state-claims"]
    kinds = tables["record-bytes"]
    most = claims.column("claims")[-1]
    for what, found, source in (
        (
            "a snapshot, no claims",
            tables["state-hosts"].last("packed, B"),
            "state-hosts",
        ),
        (
            f"a snapshot, {most:,} claims",
            claims.last("packed, B"),
            claims.name,
        ),
        (
            "a published configuration",
            kinds.at("kind", "PublishFleet", "bytes"),
            kinds.name,
        ),
    ):
        yield Row(
            what=f"a record of the log, B: {what}",
            limit=target_size.LIMIT_RECORD,
            found=found,
            source=source,
        )


def _reading(tables: Tables) -> Rows:
    """Yield the traffic with configuration changes or claims added."""
    daemons = target_size.DAEMONS
    traffic = tables["control-total"].at("daemons", daemons, "all, KB/s")
    kinds = tables["record-bytes"]
    for column, what in (("bytes", "whole"), ("deflated", "deflated")):
        size = kinds.at("kind", "PublishFleet", column)
        yield Row(
            what=(
                f"control, KB/s, {daemons} daemons, each change of the day "
                f"publishes the configuration, {what}"
            ),
            limit=target_size.LIMIT_KB_S,
            found=traffic
            + size * target_size.CHANGES_A_DAY / target_size.DAY_S / 1000,
            source="control-total, record-bytes",
        )
    claimed = tables["claims-load"]
    column = "read by each daemon, KB/s"
    for rate in target_size.CLAIM_RATES:
        read = claimed.at("claims a second", rate, column)
        yield Row(
            what=f"control, KB/s, {daemons} daemons, {rate} claims a second",
            limit=target_size.LIMIT_KB_S,
            found=traffic + read,
            source="control-total, claims-load",
        )


def _starts(tables: Tables) -> Rows:
    starts = tables["starts"]
    for what, source, column in (
        ("a start from the platform", starts, "from the platform, ms"),
        ("a start from a peer", starts, "from a peer, ms"),
        ("a peer's work for it", starts, "peer's work, ms"),
        (
            "a zone's return, 256 records",
            tables["returns"],
            "folding, ms",
        ),
    ):
        yield Row(
            what=f"CPU, ms, {what}",
            found=source.last(column),
            source=source.name,
        )
    yield Row(
        what="a process's start until ready, s, from the platform",
        found=tables["daemon-hosts"].last("ready after, s"),
        source="daemon-hosts",
    )

"""List the margins of simulated days over their required minimums.

Run ``python -m benchmarks.margins SITE ENTRY...``. The users' benchmark
writes an entry file for each run; the site file has the minimums (floors) of
its standard days. Days with the smallest margins come first, because they
need work most. Shortfalls that the benchmark reported are listed too,
including those of randomly generated days (command ``hunt``), which have no
floors in the site file.
"""

from collections import abc
import dataclasses
import json
import pathlib
import tomllib
import typing

import click


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Floors:
    """The minimum shares of its possible worth that a day has to earn.

    ``served`` applies to all callers together, ``by_class`` to each class of
    requests and ``by_zone`` to the callers of each zone. None means that
    there is no minimum.
    """

    served: float | None = None
    by_class: float | None = None
    by_zone: float | None = None


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Figure:
    """The lowest share of one kind on a day, and its floor."""

    kind: str
    share: float
    floor: float

    @property
    def margin(self) -> float:
        """Return the share minus the floor."""
        return self.share - self.floor


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Day:
    """A simulated day: figures with floors, broken rules and shortfalls.

    ``lost`` is the share of requests that were refused or failed.
    """

    entry: str
    command: str
    name: str
    seed: int | None
    figures: tuple[Figure, ...]
    lost: float
    passed: bool
    rules: tuple[str, ...]
    short: tuple[str, ...]

    @property
    def margin(self) -> float:
        """Return the smallest margin; infinity for a day without floors."""
        return min((f.margin for f in self.figures), default=float("inf"))

    @property
    def passed_all_checks(self) -> bool:
        """Return whether the benchmark reported no failure or shortfall."""
        return self.passed and not self.short and not self.rules


def read_floors(path: pathlib.Path) -> tuple[str, dict[str, Floors]]:
    """Return the name of a site and the floors of each day by name."""
    site = tomllib.loads(path.read_text(encoding="utf-8"))
    floors = {
        day["name"]: Floors(
            served=day.get("goal", {}).get("floor"),
            by_class=_first(day.get("floor_classes")),
            by_zone=_first(day.get("floor_zones")),
        )
        for day in site.get("day", [])
    }
    return site["name"], floors


def _first(values: list[float] | None) -> float | None:
    return values[0] if values else None


def read_days(
    paths: abc.Iterable[pathlib.Path], site: str, floors: dict[str, Floors]
) -> abc.Iterator[Day]:
    """Yield the days of those entries that belong to a site."""
    for path in paths:
        entry = json.loads(path.read_text(encoding="utf-8"))
        if entry.get("site") == site:
            for day in entry.get("days", []):
                yield _day(path.stem, entry["cmd"], day, floors)


def _day(
    entry: str,
    command: str,
    day: dict[str, typing.Any],
    floors: dict[str, Floors],
) -> Day:
    # The command "hunt" appends the seed to the name of a day.
    known = floors.get(day["name"].split()[0], Floors())
    return Day(
        entry=entry,
        command=command,
        name=day["name"],
        seed=day.get("seed"),
        figures=tuple(_figures(day, known)),
        lost=day.get("refused", 0.0) + day.get("failed", 0.0),
        passed=bool(day["gate"]),
        rules=tuple(day.get("rules", ())),
        short=tuple(day.get("short", ())),
    )


def _figures(
    day: dict[str, typing.Any], floors: Floors
) -> abc.Iterator[Figure]:
    for kind, values, floor in (
        ("served", [day.get("served")], floors.served),
        ("class", day.get("by_class", []), floors.by_class),
        ("zone", day.get("by_zone", []), floors.by_zone),
    ):
        known = [value for value in values if value is not None]
        if known and floor is not None:
            yield Figure(kind=kind, share=min(known), floor=floor)


def lines(days: abc.Iterable[Day]) -> abc.Iterator[str]:
    """Yield a line per day: failed days first, then by margin."""
    for day in sorted(
        days, key=lambda day: (day.passed_all_checks, day.margin)
    ):
        figures = " ".join(
            f"{f.kind}={f.share:.3f}/{f.floor:.3f}({f.margin:+.3f})"
            for f in day.figures
        )
        parts = [
            day.entry,
            day.command,
            day.name,
            f"seed={day.seed}",
            figures,
            f"lost={day.lost:.3f}",
            "ok" if day.passed_all_checks else "NOT OK",
            *(f"rule: {rule}" for rule in day.rules),
            *(f"short: {text.splitlines()[0]}" for text in day.short),
        ]
        yield "  ".join(part for part in parts if part)


@click.command()
@click.argument(
    "site",
    type=click.Path(exists=True, dir_okay=False, path_type=pathlib.Path),
)
@click.argument(
    "entries",
    nargs=-1,
    required=True,
    type=click.Path(exists=True, dir_okay=False, path_type=pathlib.Path),
)
def main(*, site: pathlib.Path, entries: tuple[pathlib.Path, ...]) -> None:
    """Print the days of ENTRIES beside the floors of SITE.

    A figure is printed as SHARE/FLOOR(MARGIN). Days that broke a rule or
    were short come first, then those with the smallest margin.
    """
    name, floors = read_floors(site)
    days = list(read_days(entries, name, floors))
    if not days:
        raise click.ClickException(f"no entry has a day of {name}")
    for line in lines(days):
        click.echo(line)


if __name__ == "__main__":
    main()

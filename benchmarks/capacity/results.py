"""Stored runs: tables of measured figures and linear fits of columns."""

import dataclasses
import pathlib
import statistics

import msgspec

Cell = str | int | float


@dataclasses.dataclass(slots=True, kw_only=True)
class Fit:
    """A least-squares line through two columns of a table.

    ``worst`` is the largest residual, as a share of the largest value.
    """

    x: str
    y: str
    slope: float
    intercept: float
    worst: float


@dataclasses.dataclass(slots=True, kw_only=True)
class Table:
    """A table of measurements; each row has one cell per column."""

    name: str
    title: str
    columns: list[str]
    rows: list[list[Cell]]
    fits: list[Fit] = dataclasses.field(default_factory=list)
    note: str = ""

    def column(self, name: str) -> list[Cell]:
        """Return the cells of a column, from the first row to the last."""
        place = self.columns.index(name)
        return [row[place] for row in self.rows]

    def last(self, name: str) -> float:
        """Return a column's cell in the last row (the largest size)."""
        return float(self.column(name)[-1])

    def at(self, column: str, key: Cell, name: str) -> float:
        """Return a cell of the first row whose ``column`` equals ``key``."""
        place = self.column(column).index(key)
        return float(self.column(name)[place])

    def add_fit(self, x: str, y: str) -> None:
        """Fit a line through two columns."""
        xs = [float(cell) for cell in self.column(x)]
        ys = [float(cell) for cell in self.column(y)]
        self.fits.append(_fit(x, y, xs, ys))

    def fit(self, y: str) -> Fit:
        """Return the fit of a column; raise ``StopIteration`` if none."""
        return next(fit for fit in self.fits if fit.y == y)


def _fit(x: str, y: str, xs: list[float], ys: list[float]) -> Fit:
    line = statistics.linear_regression(xs, ys)
    residuals = [
        abs(value - line.slope * size - line.intercept)
        for size, value in zip(xs, ys, strict=True)
    ]
    return Fit(
        x=x,
        y=y,
        slope=line.slope,
        intercept=line.intercept,
        worst=max(residuals) / max(max(ys), 1e-12),
    )


@dataclasses.dataclass(slots=True, kw_only=True)
class Run:
    """A stored run: its command, commit, time, machine and tables."""

    name: str
    command: str
    commit: str
    at: str
    machine: str
    tables: dict[str, Table] = dataclasses.field(default_factory=dict)


def save(run: Run, path: pathlib.Path) -> None:
    """Write a run to a JSON file."""
    data = msgspec.json.encode(run)
    path.write_bytes(msgspec.json.format(data, indent=1) + b"\n")


def load(path: pathlib.Path) -> Run:
    """Read a run; raise ``msgspec.DecodeError`` if it is malformed."""
    return msgspec.json.decode(path.read_bytes(), type=Run)


def load_all(directory: pathlib.Path) -> dict[str, Run]:
    """Return the runs of a directory by name."""
    runs = (load(path) for path in sorted(directory.glob("*.json")))
    return {run.name: run for run in runs}

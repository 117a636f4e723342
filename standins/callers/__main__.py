"""Command line of the load generator."""

import dataclasses
import itertools

import click
import msgspec

from standins.callers import arrivals
from standins.callers import load
from standins.callers import model


@click.command()
@click.option("--entry", "entries", multiple=True, required=True)
@click.option("--path", default="/", show_default=True)
@click.option("--echo-path", default=None, help="Path the worker sees.")
@click.option("--method", default="GET", show_default=True)
@click.option("--header", "headers", multiple=True, metavar="NAME:VALUE")
@click.option("--key-prefix", default="", help="Give each call a key.")
@click.option("--rate-per-s", default=0.0, help="Open loop; 0: closed loop.")
@click.option("--duration-s", default=5.0, show_default=True)
@click.option("--threads", default=16, show_default=True)
@click.option("--max-calls", default=100_000, show_default=True)
@click.option("--timeout-ms", default=10_000, show_default=True)
@click.option("--seed", default=1, show_default=True)
def main(
    entries: tuple[str, ...],
    path: str,
    echo_path: str | None,
    method: str,
    headers: tuple[str, ...],
    key_prefix: str,
    rate_per_s: float,
    duration_s: float,
    threads: int,
    max_calls: int,
    timeout_ms: int,
    seed: int,
) -> None:
    """Send one kind of call and print the summary as JSON."""
    pairs = tuple(_parse_header(text) for text in headers)
    calls = (
        model.Call(
            path=path,
            echo_path=echo_path,
            method=method,
            headers=pairs,
            key=f"{key_prefix}{number}" if key_prefix else "",
        )
        for number in itertools.count()
    )
    phase = arrivals.Phase(rate_per_s=rate_per_s, duration_s=duration_s)
    _, summary = load.run(
        load.Load(
            entries=entries,
            calls=calls,
            arrivals=arrivals.OpenLoop(phases=(phase,))
            if rate_per_s
            else arrivals.ClosedLoop(duration_s=duration_s),
            threads=threads,
            max_calls=max_calls,
            timeout_ms=timeout_ms,
            seed=seed,
        )
    )
    click.echo(msgspec.json.encode(dataclasses.asdict(summary)).decode())


def _parse_header(text: str) -> tuple[str, str]:
    name, colon, value = text.partition(":")
    if not colon:
        raise click.BadParameter(f"{text!r} is not NAME:VALUE")
    return name.strip(), value.strip()


if __name__ == "__main__":
    main()

"""Estimate how long one maintenance of the whole fleet takes.

Run ``python -m benchmarks.maintenance --drain-s D --reboot-s R`` with the
measured drain and reboot times of one host.
"""

import click

from azurewood.policy import maintenance

POOLS = 37
HOSTS = 3700
TARGET_DAYS = 49.0
GATE_OPEN_SHARES = (1.0, 0.5, 0.25, 0.1)
AT_ONCE = (1, 2)


def days(
    *, host_s: float, at_once: int, open_share: float, largest: int = 0
) -> float:
    """Return the days that maintenance of the whole fleet takes.

    The largest pool determines the time. ``largest`` is its number of hosts;
    0 stands for pools of equal size.
    """
    return maintenance.round_days(
        pool_hosts=[largest or HOSTS // POOLS],
        at_once=at_once,
        host_s=host_s,
        open_share=open_share,
    )


@click.command()
@click.option("--drain-s", default=30.0, show_default=True)
@click.option("--reboot-s", default=900.0, show_default=True)
@click.option("--largest", default=1000, show_default=True)
def main(drain_s: float, reboot_s: float, largest: int) -> None:
    """Print the days of a round, pools of equal size and a large one."""
    host_s = drain_s + reboot_s
    click.echo(f"{HOSTS} hosts, {POOLS} pools, {host_s:.1f} s a host")
    click.echo(f"{'gate open':>10}{'at once':>9}{'equal':>9}{'large':>9}")
    for share in GATE_OPEN_SHARES:
        for at_once in AT_ONCE:
            equal, large = (
                days(
                    host_s=host_s,
                    at_once=at_once,
                    open_share=share,
                    largest=size,
                )
                for size in (0, largest)
            )
            click.echo(f"{share:10.0%}{at_once:9}{equal:9.2f}{large:9.2f}")


if __name__ == "__main__":
    main()

"""Command line of the worker stand-in."""

import asyncio
import signal

import click

from standins.worker import control
from standins.worker import host as host_module
from standins.worker import reporter


def _parse_host(text: str) -> tuple[str, str, str]:
    name, equals, rest = text.partition("=")
    address, _, zone = rest.partition("@")
    if not (name and equals and address):
        raise click.BadParameter(f"{text!r} is not NAME=ADDRESS[@ZONE]")
    return name, address, zone


@click.command()
@click.option("--platform", default="http://127.0.0.1:9400", show_default=True)
@click.option(
    "--host",
    "hosts",
    multiple=True,
    required=True,
    metavar="NAME=ADDRESS[@ZONE]",
    help="A host that this process stands for; may be repeated.",
)
@click.option("--control-port", default=9001, show_default=True)
@click.option("--slots", default=8, show_default=True)
@click.option("--connections", default=64, show_default=True)
def main(
    platform: str,
    hosts: tuple[str, ...],
    control_port: int,
    slots: int,
    connections: int,
) -> None:
    """Run the hosts given until told to stop."""
    parsed = [_parse_host(text) for text in hosts]
    asyncio.run(_run(platform, parsed, control_port, slots, connections))


async def _run(
    platform: str,
    parsed: list[tuple[str, str, str]],
    control_port: int,
    slots: int,
    connections: int,
) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGINT, stop.set)
    hosts = [
        host_module.Host(
            name=name,
            address=address,
            zone=zone,
            slots=slots,
            connections=connections,
            changed=lambda: reports.wake(),
        )
        for name, address, zone in parsed
    ]
    reports = reporter.Reporter(
        platform=platform, hosts=hosts, control_port=control_port
    )
    for host in hosts:
        await control.Control(host=host).listen(port=control_port)
    reports.start()
    click.echo(f"worker stand-in: {len(hosts)} hosts")
    await stop.wait()


if __name__ == "__main__":
    main()

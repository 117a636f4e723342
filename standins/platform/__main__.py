"""Command line of the platform stand-in."""

import signal

import click

from standins.platform import app
from standins.platform import log
from standins.platform import server
from standins.platform import service


@click.command()
@click.option("--listen", default="127.0.0.1:9400", show_default=True)
@click.option("--host-list-lag-ms", default=2000, show_default=True)
@click.option("--retention-s", default=3600.0, show_default=True)
@click.option("--max-records", default=1_000_000, show_default=True)
@click.option("--appends-per-s", default=300.0, show_default=True)
@click.option("--heartbeat-timeout-ms", default=2000, show_default=True)
@click.option("--reboot-ms", default=1000, show_default=True)
@click.option("--threads", default=server.THREADS, show_default=True)
def main(
    listen: str,
    host_list_lag_ms: int,
    retention_s: float,
    max_records: int,
    appends_per_s: float,
    heartbeat_timeout_ms: int,
    reboot_ms: int,
    threads: int,
) -> None:
    """Run the platform stand-in until it is told to stop."""
    address, _, port = listen.rpartition(":")
    platform = service.Platform(
        event_log=log.Log(
            retention_s=retention_s,
            max_records=max_records,
            appends_per_s=appends_per_s,
        ),
        host_list_lag_ms=host_list_lag_ms,
        heartbeat_timeout_s=heartbeat_timeout_ms / service.MS_PER_S,
        reboot_s=reboot_ms / service.MS_PER_S,
    )
    http_server = server.make(
        address=address,
        port=int(port),
        application=app.App(platform=platform),
        threads=threads,
    )
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    platform.start()
    click.echo(f"platform stand-in on {listen}")
    try:
        http_server.serve()
    except KeyboardInterrupt:
        platform.close()
        http_server.stop()


if __name__ == "__main__":
    main()

"""Run the operators' command line against a deployment's daemons."""

import dataclasses
import os
import pathlib
import subprocess
import sys
import typing

import msgspec

from azurewood.fleet import document
from azurewood.fleet import model
from azurewood.operators import client as clients
from standins import exceptions
from standins import testbed

COMMAND_TIMEOUT_S = 90.0


class CommandFailedError(exceptions.StandinError):
    """A command exited with a non-zero status."""


def shift_addresses(fleet: model.Fleet, network: int) -> model.Fleet:
    """Return the fleet with its hosts' addresses in 127.``network``.0.0/16.

    Deployments with different networks can share a machine.
    """
    hosts = tuple(
        dataclasses.replace(
            host,
            address=".".join(
                ["127", str(network), *host.address.split(".")[2:]]
            ),
        )
        for host in fleet.hosts
    )
    return dataclasses.replace(fleet, hosts=hosts)


def load_example(path: pathlib.Path, *, network: int) -> model.Fleet:
    """Load a fleet document, with its hosts in a loopback network."""
    fleet = document.load(path.read_text(encoding="utf-8"), str(path))
    return shift_addresses(fleet, network)


def client(daemon: testbed.Daemon) -> clients.OperatorsClient:
    """Return a client of one daemon's operators' interface."""
    return clients.OperatorsClient(
        daemons=[daemon.operators_url], token=testbed.OPERATORS_TOKEN
    )


class CommandLine:
    """Runs commands that know every running daemon of a deployment."""

    def __init__(self, *, deployment: testbed.Deployment) -> None:
        self._deployment = deployment

    def run(
        self, *args: str, env: dict[str, str] | None = None
    ) -> subprocess.CompletedProcess:
        """Run a command; return its status and output."""
        return subprocess.run(
            [sys.executable, "-m", "azurewood", *args],
            stdin=subprocess.DEVNULL,
            capture_output=True,
            text=True,
            timeout=COMMAND_TIMEOUT_S,
            env=self._env() | (env or {}),
            check=False,
        )

    def _env(self) -> dict[str, str]:
        urls = [
            daemon.operators_url
            for daemon in self._deployment.daemons.values()
            if daemon.process.alive
        ]
        return os.environ | {
            "AZUREWOOD_DAEMONS": " ".join(urls),
            "AZUREWOOD_OPERATOR": "mariam",
            "AZUREWOOD_OPERATORS_TOKEN": testbed.OPERATORS_TOKEN,
        }

    def checked(self, *args: str) -> str:
        """Run a command; return its output.

        Raises CommandFailedError if the status is not 0.
        """
        done = self.run(*args)
        if done.returncode:
            raise CommandFailedError(
                f"azurewood {' '.join(args)}"
                f" exited with status {done.returncode}:\n"
                f"{done.stderr}"
            )
        return done.stdout

    def checked_json(self, *args: str) -> typing.Any:
        """Run a command with JSON output; return the decoded output."""
        return msgspec.json.decode(self.checked(*args, "--output", "json"))

import dataclasses
import os
import pathlib

import pytest

from azurewood.fleet import document
from standins import command_line
from standins import processes
from standins import testbed
from tests import small_fleet

NETWORK = 60 + os.getpid() % 190
"""Second byte of the hosts' addresses, which keeps parallel runs apart."""


@dataclasses.dataclass(slots=True, kw_only=True)
class Running:
    """A deployment whose configuration is in force, and its commands."""

    deployment: testbed.Deployment
    commands: command_line.CommandLine
    path: pathlib.Path

    def code(self, *args):
        return self.commands.run(*args).returncode

    def hosts(self):
        return {
            row["host"]: row
            for row in self.commands.checked_json("host", "list")
        }


@pytest.fixture(scope="session")
def fleet():
    return command_line.shift_addresses(small_fleet.load(), NETWORK)


@pytest.fixture(scope="module")
def running(tmp_path_factory, fleet):
    directory = tmp_path_factory.mktemp("commands")
    path = directory / "fleet.yaml"
    path.write_text(document.dump(fleet))
    with processes.Processes(log_dir=directory) as started:
        deployment = testbed.Deployment(
            running=started,
            fleet=fleet,
            platform_args=("--host-list-lag-ms", "100", "--reboot-ms", "100"),
        )
        deployment.start_daemons(per_zone=2)
        deployment.start_workers()
        processes.wait_for(
            lambda: all(
                daemon.status()["log_reachable"]
                for daemon in deployment.daemons.values()
            ),
            what="the log is read",
        )
        commands = command_line.CommandLine(deployment=deployment)
        commands.checked("config", "apply", str(path), "--wait")
        deployment.wait_serving()
        yield Running(deployment=deployment, commands=commands, path=path)

import json

from click import testing
import pytest

from azurewood.commands import exceptions
from azurewood.commands import main
from azurewood.commands import proposals
from azurewood.operators import messages
from tests import small_fleet

TOKEN = "a-token-of-some-length"
FAULTS = {
    "preset: ordinary": "preset: nothing",
    "port: 18402": "port: 18401",
    "{name: archive, groups: [archive], spare: true}": (
        "{name: archive, groups: [archive, crew]}"
    ),
    "address: 127.1.3.11": "address: not-an-address",
    "deployment: small": "deployment: small\nzone: volos",
}


def run(*args, **env):
    runner = testing.CliRunner(env=env)
    return runner.invoke(main.main, args)


def test_a_file_with_five_faults_is_checked_offline(tmp_path):
    text = small_fleet.TEXT
    for good, bad in FAULTS.items():
        assert good in text
        text = text.replace(good, bad, 1)
    path = tmp_path / "bad.yaml"
    path.write_text(text)
    done = run("config", "check", str(path))
    assert done.exit_code == 2
    lines = [line for line in done.output.splitlines() if ": error " in line]
    assert len(lines) >= len(FAULTS)
    assert all(line.startswith(f"{path}:") for line in lines)
    found = json.loads(
        run("config", "check", str(path), "--output", "json").output
    )
    assert not found["valid"]
    assert len(found["findings"]) == len(lines)


def test_a_good_file_passes(tmp_path):
    path = tmp_path / "good.yaml"
    path.write_text(small_fleet.TEXT)
    assert run("config", "check", str(path)).exit_code == 0


def leaves(group, *names):
    for name, command in group.commands.items():
        if hasattr(command, "commands"):
            yield from leaves(command, *names, name)
        else:
            yield (*names, name)


DAEMONS = (("entry",), ("fleet",))
"""Commands that run until they are stopped and have no ``--output``."""


@pytest.mark.parametrize("names", list(leaves(main.main)), ids=" ".join)
def test_every_command_has_help_with_an_example(names):
    done = run(*names, "--help")
    assert done.exit_code == 0
    assert f"azurewood {' '.join(names)}" in done.output
    if names not in DAEMONS:
        assert "--output" in done.output


def test_the_token_comes_from_the_environment_only():
    missing = run("status", AZUREWOOD_OPERATORS_TOKEN=None)
    assert missing.exit_code == 2
    assert "AZUREWOOD_OPERATORS_TOKEN" in missing.output
    lost = run(
        *("status", "--daemon", "http://127.0.0.1:9"),
        AZUREWOOD_OPERATORS_TOKEN=TOKEN,
    )
    assert lost.exit_code == 1
    assert TOKEN not in lost.output
    assert "token" not in run("status", "--help").output


def test_each_exit_code_has_a_meaning():
    assert set(exceptions.MEANINGS) == set(exceptions.ExitCode)


def daemon(name, zone, revision, *, alive=True, stopping=False):
    return messages.DaemonStatus(
        daemon=name,
        zone=zone,
        revision=revision,
        log_reachable=True,
        alive=alive,
        stopping=stopping,
    )


@pytest.mark.parametrize(
    ("daemons", "in_force"),
    [
        ([daemon("a", "z", 5), daemon("b", "z", 6)], True),
        ([daemon("a", "z", 5), daemon("b", "z", 4)], False),
        ([daemon("a", "z", 5), daemon("b", "z", 4, alive=False)], True),
        ([daemon("a", "z", 5), daemon("b", "z", 4, stopping=True)], True),
        ([daemon("a", "z", 5, alive=False)], False),
    ],
)
def test_a_zone_has_a_revision_once_all_its_live_daemons_have(
    daemons, in_force
):
    status = messages.Status(
        daemon="a",
        zone="z",
        ready=True,
        revision=5,
        in_force="peak",
        in_force_revision=5,
        log_reachable=True,
        daemons=daemons,
        services=[],
        pools=[],
        hosts=[],
        waves=[],
    )
    assert proposals.progress_by_zone(status, 5)["z"].in_force is in_force

import pathlib

import click
from click import testing
import pytest

from azurewood.conf import base
from azurewood.conf import entry
from azurewood.conf import exceptions
from azurewood.conf import kinds
from azurewood.conf import options
from azurewood.conf import reference

DOCS = pathlib.Path(__file__).parents[2] / "docs" / "reference"
TOKEN = "a-token-of-some-length"
KEY = "a-key-that-is-long-enough"
ENVIRON = {
    "AZUREWOOD_ZONE": "volos",
    "AZUREWOOD_NAME": "volos-1",
    "AZUREWOOD_PLATFORM_URL": "http://127.0.0.1:9000",
    "AZUREWOOD_OPERATORS_TOKEN": TOKEN,
    "AZUREWOOD_PEERS_KEY": KEY,
}


def lazy_settings(environ=None, **flags):
    return base.LazySettings(
        cls=entry.EntrySettings,
        flags=flags,
        environ={**ENVIRON, **(environ or {})},
    )


def findings_by_place(settings):
    with pytest.raises(exceptions.InvalidSettings) as caught:
        settings.load()
    return {found.place: found for found in caught.value.findings}


def test_flags_override_variables_and_variables_override_defaults():
    settings = lazy_settings(
        {"AZUREWOOD_LISTEN": "127.0.0.1:1", "AZUREWOOD_THREADS": "7"},
        listen="[::1]:2",
    ).load()
    assert settings.listen == kinds.Address(host="::1", port=2)
    assert (settings.threads, settings.queue_count) == (7, 128)
    assert (settings.statsd, settings.peers) == (None, ())


def test_settings_are_checked_when_first_used():
    settings = lazy_settings(threads="many")
    with pytest.raises(exceptions.InvalidSettings):
        _ = settings.zone
    assert lazy_settings().zone == "volos"


def test_all_faults_are_reported_at_once_with_their_places():
    environ = {
        "AZUREWOOD_ZONE": "no zone",
        "AZUREWOOD_LISTEN": "localhost:8080",
        "AZUREWOOD_PEERS": "tcp://127.0.0.1:1, udp://127.0.0.1:2",
        "AZUREWOOD_PEERS_KEY": "tooshort",
        "AZUREWOOD_TLS_KEY": "/nonexistent",
    }
    found = findings_by_place(
        lazy_settings(environ, threads="0", peer_timeout_ms="300")
    )
    assert set(found) == {*environ, "--threads", "--peer-timeout-ms"}
    assert all(finding.message for finding in found.values())
    assert "tooshort" not in "".join(map(str, found.values()))


def test_a_missing_required_setting_is_reported_by_flag_and_variable():
    settings = base.LazySettings(cls=entry.EntrySettings, flags={}, environ={})
    required = [
        item
        for item in base.declared(entry.EntrySettings)
        if item.default is None
    ]
    assert len(required) == 5
    assert set(findings_by_place(settings)) == {
        f"{item.flag} or {item.variable}" for item in required
    }


@pytest.mark.parametrize(
    ("name", "text"),
    [
        ("listen", "127.0.0.1"),
        ("listen", "127.0.0.1:0"),
        ("listen", "127.0.0.1:65536"),
        ("listen", "::1:80"),
        ("listen", ""),
        ("operators_listen", "127.0.0.1:8080"),
        ("peers_listen", "127.0.0.1:8082"),
        ("peers_listen", "tcp://0.0.0.0:8082"),
        ("platform_url", "http://platform:80"),
        ("platform_url", "http://127.0.0.1:80/path"),
        ("threads", "1_0"),
        ("threads", "-1"),
        ("log_level", "loud"),
        ("statsd", "127.0.0.1"),
        ("tls_certificate", __file__),
    ],
)
def test_each_bad_value_is_found_at_its_flag(name, text):
    flag = "--" + name.replace("_", "-")
    assert set(findings_by_place(lazy_settings(**{name: text}))) == {flag}


def test_secrets_are_not_in_the_representation():
    settings = lazy_settings().load()
    assert settings.operators_token == TOKEN
    assert TOKEN not in repr(settings)
    assert KEY not in repr(settings)


def test_a_command_with_invalid_settings_exits_with_code_2():
    @click.command()
    @options.options(entry.EntrySettings)
    def command(settings):
        click.echo(settings.load().zone)

    runner = testing.CliRunner(env=ENVIRON)
    good = runner.invoke(command, ["--zone", "larissa"])
    assert (good.exit_code, good.output) == (0, "larissa\n")
    bad = runner.invoke(command, ["--zone", "", "--threads", "x"])
    assert bad.exit_code == 2
    assert "--zone:" in bad.output
    assert "--threads:" in bad.output
    assert "2 errors" in bad.output
    shown = runner.invoke(command, ["--help"]).output
    for item in base.declared(entry.EntrySettings):
        assert item.flag in shown


def test_the_committed_page_is_the_generated_one():
    committed = (DOCS / "settings.md").read_text()
    assert committed == reference.page()

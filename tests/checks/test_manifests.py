"""A configuration is checked before it is sent, without showing a key."""

import json

from click import testing
import pytest

from azurewood.commands import main
from azurewood.platform import catalogs
from azurewood.platform import exceptions
from azurewood.platform import manifests

SECRET = "k-3f9a77c0"
OTHER = "k-0b51e2d8"


def _route(name="r-1", **fields):
    route = {"name": name, "host": "jobs.example", "service": "one"}
    return route | {"path_prefix": f"/{name}/", **fields}


def _tenant(name="a", *keys, **fields):
    return {"name": name, "api_keys": list(keys or (SECRET,)), **fields}


def _manifest(**fields):
    good = {
        "version": 3,
        "routes": [_route()],
        "services": [{"name": "one"}, {"name": "spare", "standby": True}],
        "tenants": [_tenant()],
    }
    return good | fields


def _limit(**amounts):
    return [_tenant(max_count=amounts)]


ERRORS = {
    "a version of a wrong type": ({"version": "3"}, "E522"),
    "a route without a name": ({"routes": [{}, _route()]}, "E522"),
    "a list that is none": ({"services": 3, "routes": []}, "E522"),
    "limits that the daemon rejects": ({"limits": 3}, "E522"),
    "keys that are no list": ({"tenants": [{"api_keys": SECRET}]}, "E523"),
    "a wrong weight": ({"tenants": [_tenant(weight=SECRET)]}, "E523"),
    "a key of two": ({"tenants": [_tenant(), _tenant("b")]}, "E523"),
    "an empty key": ({"tenants": [_tenant("a", SECRET, "")]}, "E523"),
    "a queue twice": ({"routes": [_route(), _route(host="h")]}, "E524"),
    "a queue without its pool": ({"services": []}, "E525"),
    "a name that is a key": ({"tenants": [_tenant(SECRET)]}, "E527"),
}
WARNINGS = {
    "an equal prefix": (
        {"routes": [_route(), _route("r-2", path_prefix="/r-1/")]},
        "W531",
    ),
    "a host with a port": ({"routes": [_route(host="h:80")]}, "W532"),
    "a prefix without a slash": (
        {"routes": [_route(path_prefix="x")]},
        "W532",
    ),
    "a pool without a queue": (
        {"services": [{"name": "one"}, {"name": "two"}]},
        "W533",
    ),
    "an account without keys": (
        {"tenants": [_tenant(), {"name": "b", "api_keys": []}]},
        "W534",
    ),
    "no account at all": ({"tenants": []}, "W535"),
    "a limit below one task": ({"tenants": _limit(cpu=999)}, "W536"),
    "a weight of nearly nothing": (
        {"tenants": [_tenant(weight=0.01), _tenant("b", OTHER)]},
        "W537",
    ),
}
CASES = ERRORS | WARNINGS


def _write(path, manifest):
    path.write_text(json.dumps(manifest))
    return str(path)


def _run(*args):
    runner = testing.CliRunner()
    done = runner.invoke(main.main, ["manifest", "check", *args])
    as_json = [*args, "--output", "json"]
    found = runner.invoke(main.main, ["manifest", "check", *as_json])
    assert found.exit_code == done.exit_code
    for text in (done.output, found.output):
        assert SECRET not in text and OTHER not in text
    body = json.loads(found.output) if done.exit_code != 3 else {}
    for finding in body.get("findings", ()):
        assert f"{finding['id']}: {finding['message']}" in done.output
    return done, body


def _ids(body):
    return [item["id"].removeprefix("azurewood.") for item in body["findings"]]


@pytest.mark.parametrize("kind", CASES)
def test_a_fault_is_found_by_its_id_and_exit_code(tmp_path, kind):
    """Guards against a fault that is missed, or a key in the output."""
    fields, number = CASES[kind]
    path = _write(tmp_path / "new.json", _manifest(**fields))
    done, body = _run(path)
    assert set(_ids(body)) == {number}
    assert done.exit_code == (1 if kind in ERRORS else 2)
    assert all(item["place"].startswith(path) for item in body["findings"])


def test_all_faults_are_reported_together_with_their_places(tmp_path):
    """Guards against a check that stops at the first fault."""
    routes = [_route(attempts="x"), _route("r-2", service="x")]
    tenants = [_tenant(weight=-1, priority=1), {"name": "b"}, 7]
    path = _write(
        tmp_path / "new.json", _manifest(routes=routes, tenants=tenants)
    )
    done, body = _run(path)
    assert done.exit_code == 1
    places = [item["place"].rpartition(" ")[2] for item in body["findings"]]
    assert "routes[0].attempts" in places and "routes[1]" in places
    assert {f"tenants[{n}]" for n in range(3)} <= set(places)


def test_a_good_file_has_no_findings(tmp_path):
    """Guards against findings about standby pools and other plain entries."""
    path = _write(tmp_path / "new.json", _manifest())
    done, body = _run(path)
    assert (done.exit_code, body["findings"]) == (0, [])
    done, body = _run(path, "--task", "0/0/0")
    assert done.exit_code == 0
    limited = _manifest(tenants=_limit(cpu=1500, gpu=1))
    path = _write(tmp_path / "new.json", limited)
    assert _run(path)[0].exit_code == 0
    assert _ids(_run(path, "--task", "2000/0/2")[1]) == ["W536", "W536"]


def test_files_that_cannot_be_read(tmp_path):
    """Guards against a missing file or wrong usage that seems a warning."""
    path = _write(tmp_path / "new.json", _manifest())
    assert _run(str(tmp_path / "none.json"))[0].exit_code == 3
    assert _run(path, "--against", str(tmp_path))[0].exit_code == 3
    assert _run(path, "--task", "1/2")[0].exit_code == 3
    (tmp_path / "old.json").write_bytes(b'{"tenants": "\xff')
    old = str(tmp_path / "old.json")
    assert _run(path, "--against", old)[0].exit_code == 3
    done, body = _run(old, "--against", path)
    assert (done.exit_code, _ids(body)) == (1, ["E521"])


def test_differences_are_told_with_keys_by_count_only(tmp_path):
    """Guards against a difference that is not told, and keys that are."""
    routes = [_route(slo_ms=5), _route("r-2", public=True)]
    old = _write(tmp_path / "old.json", _manifest())
    tenants = [_tenant("a", SECRET, OTHER, max_count={"cpu": 4000})]
    new = _manifest(version=4, routes=routes, tenants=tenants)
    done, body = _run(_write(tmp_path / "new.json", new), "--against", old)
    assert done.exit_code == 0
    assert [tuple(item.values()) for item in body["differences"]] == [
        ("queue", "r-1", "slo_ms", "0", "5"),
        ("queue", "r-2", "", "absent", "present"),
        ("account", "a", "api_keys", "1", "2 (1 added, 0 removed)"),
        ("account", "a", "max_count", "0/0/0", "4000/0/0"),
    ]
    assert "4000/0/0" in done.output


@pytest.mark.parametrize(
    ("fields", "numbers"),
    [
        ({"version": 3}, []),
        ({"version": 2}, ["E526"]),
        ({"version": 3, "tenants": [_tenant(weight=2)]}, ["E526"]),
        ({"version": 4, "tenants": [_tenant("a", OTHER)]}, ["W538"]),
        ({"version": 4, "tenants": [_tenant("a", SECRET, OTHER)]}, []),
    ],
)
def test_a_change_is_checked_against_the_old_file(tmp_path, fields, numbers):
    """Guards against a version that is ignored and keys without overlap."""
    old = _write(tmp_path / "old.json", _manifest())
    new = _write(tmp_path / "new.json", _manifest(**fields))
    assert _ids(_run(new, "--against", old)[1]) == numbers


def test_a_lost_list_of_accounts_is_a_warning(tmp_path):
    """Guards against a misspelt field that lets everybody in."""
    old = _write(tmp_path / "old.json", _manifest(tenants=[{"name": "a"}]))
    new = _manifest(version=4)
    new["tenant"] = new.pop("tenants")
    path = _write(tmp_path / "new.json", new)
    done, body = _run(path, "--against", old)
    assert (done.exit_code, _ids(body)) == (2, ["W539", "W540"])


@pytest.mark.parametrize("kind", CASES)
def test_the_check_and_the_daemon_agree(kind):
    """Guards against a file that passes here and is rejected by daemons."""
    data = json.dumps(_manifest(**CASES[kind][0])).encode()
    found = {item.id[-4:] for item in manifests.check(data, "f").findings}
    try:
        catalogs.decode(data)
    except exceptions.InvalidMessage:
        assert found & {"E522", "E523"}
    else:
        assert not found & {"E522", "E523"}

import pathlib

import pytest

from azurewood.fleet import document
from azurewood.fleet import exceptions
from azurewood.fleet import model

EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"

BROKEN = """\
deployment: broken
preset: ordinary
zones:
  - {name: z1, region: r}
hosts:
  - {group: a, zone: z1, rack: z1-a, count: 2, address: 127.1.1.1}
  - {name: b1, zone: z9, rack: z9-a, address: 127.1.1.9}
pools:
  - {name: a, groups: [a]}
  - {name: b, hosts: [b1, a-z1-2]}
services:
  - {name: a, pool: a, port: 18101, availability: 1.5}
  - {name: b, pool: b, port: eighty, colour: red}
presets:
  - name: ordinary
    moves: {policy: hysteresis, gain_load: 0.4, give_load: 0.6}
"""


def places(findings):
    return [
        (found.id.removeprefix("azurewood."), found.place)
        for found in findings
    ]


@pytest.mark.parametrize("name", ["al-hadeed", "karamanlis"])
def test_examples_are_the_two_deployments(name):
    text = (EXAMPLES / f"{name}.yaml").read_text()
    fleet = document.load(text, name)
    assert fleet.deployment == name
    assert [len(pool.hosts) for pool in fleet.pools] == [6] * 5
    racks = {}
    for host in fleet.hosts:
        racks.setdefault(host.rack, []).append(host)
        assert (host.slots, host.connections) == (8, 64)
    assert max(map(len, racks.values())) == 4
    zones = [host.zone for host in fleet.hosts]
    assert sorted(map(zones.count, set(zones))) == [10, 10, 10]
    assert {preset.name for preset in fleet.presets} == {
        "ordinary",
        "peak",
        "maintenance",
    }


@pytest.mark.parametrize(
    ("name", "urgent", "once"),
    [
        ("al-hadeed", "quoting/quotes", "certs/issue"),
        ("karamanlis", "crew-desk/lookups", "ministry-desk/submit"),
    ],
)
def test_examples_mark_urgent_and_non_repeatable_routes(name, urgent, once):
    fleet = document.load((EXAMPLES / f"{name}.yaml").read_text(), name)
    routes = {
        service.name + route.prefix: route
        for service in fleet.services
        for route in service.routes
    }
    assert [
        key
        for key, route in routes.items()
        if route.urgency is model.Urgency.URGENT
    ] == [urgent]
    assert [key for key, route in routes.items() if not route.repeatable] == [
        once
    ]


def test_all_faults_are_reported_at_once_with_their_lines():
    with pytest.raises(exceptions.InvalidDocument) as caught:
        document.load(BROKEN, "f")
    assert sorted(places(caught.value.findings)) == [
        ("E011", "f:13"),
        ("E013", "f:13"),
        ("E016", "f:12"),
        ("E104", "f:7"),
        ("E111", "f:10"),
        ("E113", "f:9"),
        ("E134", "f:16"),
    ]
    assert "7 errors" in str(caught.value)


@pytest.mark.parametrize(
    ("text", "id"),
    [
        ("", "E002"),
        ("~", "E002"),
        ("a: [", "E001"),
        ("a: \ud800", "E001"),
        ("[1]", "E013"),
        ("a: &x [1]\nb: *x", "E004"),
        ("[" * 100, "E005"),
        ("a: 1\n---\nb: 2", "E006"),
        ("#" * 5_000_000, "E003"),
        ("- a\n" * 400_000, "E007"),
    ],
)
def test_unusable_texts_are_refused(text, id):
    findings = document.read(text, "f").findings
    assert places(findings)[0][0] == id
    assert len(findings) == 1


VALID = """\
deployment: d
preset: p
zones: [{name: z1, region: r}, {name: z2, region: r}]
hosts:
  - {name: h1, zone: z1, rack: k1, address: 127.0.0.1}
  - {name: h2, zone: z2, rack: k2, address: 127.0.0.2}
pools:
  - {name: a, hosts: [h1]}
  - {name: b, hosts: [h2], spare: true}
teams: [{name: t, host_quota: 2}]
services:
  - {name: a, pool: a, port: 1, team: t}
  - {name: b, pool: b, port: 2, team: t}
presets:
  - {name: p, targets: [{pool: a, min_hosts: 1, max_hosts: 2}]}
"""


@pytest.mark.parametrize(
    ("old", "new", "expected"),
    [
        ("rack: k2", "rack: k1", ("E115", "f:6")),
        ("127.0.0.2", "127.0.0.1", ("E117", "f:6")),
        ("127.0.0.2", "host.example", ("E116", "f:6")),
        ("pool: b, port: 2", "pool: b, port: 1", ("E121", "f:13")),
        ("pool: b, port: 2", "pool: a, port: 2", ("E122", "f:13")),
        ("name: b, pool", "name: a, pool", ("E102", "f:13")),
        ("hosts: [h1]", "hosts: [h1], spare: true", ("E114", "f:9")),
        ("hosts: [h1]", "hosts: []", ("E112", "f:5")),
        ("hosts: [h1]", "hosts: [h1, h7]", ("E104", "f:8")),
        ("hosts: [h1]", "hosts: [h1], groups: [g]", ("E104", "f:8")),
        ("port: 2, team: t", "port: 2, team: x", ("E104", "f:13")),
        ("{pool: a, min", "{pool: x, min", ("E104", "f:15")),
        ("preset: p", "preset: q", ("E104", "f:2")),
        ("max_hosts: 2", "max_hosts: 0", ("E132", "f:15")),
        ("min_hosts: 1", "min_hosts: 3", ("E132", "f:15")),
        ("host_quota: 2", "host_quota: 1", ("E135", "f:10")),
        ("host_quota: 2", "host_quota: yes", ("E013", "f:10")),
        ("name: h1,", "name: 'h 1',", ("E101", "f:5")),
        ("deployment: d\n", "", ("E014", "f:1")),
        ("port: 2,", "port: 2, port: 3,", ("E012", "f:13")),
        ("port: 2,", "port: 70000,", ("E016", "f:13")),
        ("name: p,", "name: p, moves: {policy: x},", ("E015", "f:15")),
        ("name: p,", "name: p, moves: {load: 1},", ("E014", "f:15")),
        (
            "port: 2,",
            "port: 2, routes: [{prefix: x, methods: [get]}],",
            ("E125", "f:13"),
        ),
        ("port: 2,", "port: 2, routes: [{prefix: x}],", ("E124", "f:13")),
        (
            "port: 2,",
            "port: 2, routes: [{prefix: /x}, {prefix: /x}],",
            ("E123", "f:13"),
        ),
        (
            "min_hosts: 1, max_hosts: 2}",
            "min_hosts: 3, max_hosts: 9}",
            ("E133", "f:15"),
        ),
        ("targets: [", "targets: [{pool: a}, ", ("E131", "f:15")),
        ("zones: [", "zones: []\nx: [", ("E103", "f:3")),
    ],
)
def test_each_fault_is_found_at_its_line(old, new, expected):
    assert document.read(VALID, "f").findings == []
    assert VALID.count(old) == 1
    findings = document.read(VALID.replace(old, new), "f").findings
    assert expected in places(findings)


def test_a_group_outside_its_bounds_is_refused():
    group = "  - {group: g, zone: z1, rack: k1, address: 127.0.1.1, count: %d}"
    for count in (0, 1_000_000_000):
        text = VALID.replace("hosts:\n", f"hosts:\n{group % count}\n", 1)
        findings = document.read(text, "f").findings
        assert places(findings) == [("E016", "f:5")]


def test_a_list_that_is_too_long_is_refused():
    text = VALID.replace("hosts: [h1]", f"hosts: [{'h1,' * 20001}]")
    findings = document.read(text, "f").findings
    assert places(findings)[0] == ("E016", "f:8")


def test_a_preset_has_the_policy_that_its_document_names():
    text = VALID.replace("name: p,", "name: p, moves: {policy: threshold},")
    moves = document.load(text, "f").presets[0].moves
    assert moves == model.ThresholdMoves()


def test_the_findings_of_a_hostile_text_are_counted_but_not_all_shown():
    text = VALID + "".join(f"x{index}: 1\n" for index in range(1500))
    findings = document.read(text, "f").findings
    assert len(findings) == document.MAX_FINDINGS + 1
    assert findings[-1].id == "azurewood.E008"
    assert findings[-1].message.startswith("500 ")

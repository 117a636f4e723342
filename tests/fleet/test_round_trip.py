import ipaddress

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from azurewood.fleet import document
from azurewood.fleet import model

NAMES = st.from_regex(r"[A-Za-z0-9][A-Za-z0-9_.-]{0,12}", fullmatch=True)
SHARES = st.floats(0, 1)
MILLISECONDS = st.integers(0, 86400000)
WEIGHTS = st.floats(0, 1000)


def unique_names(least, most):
    return st.lists(NAMES, min_size=least, max_size=most, unique=True)


@st.composite
def hysteresis(draw):
    give, gain = sorted(
        draw(st.lists(SHARES, min_size=2, max_size=2, unique=True))
    )
    return model.HysteresisMoves(
        gain_load=gain,
        give_load=give,
        hold_ms=draw(MILLISECONDS),
        rest_ms=draw(MILLISECONDS),
        at_once=draw(st.integers(1, 100)),
        buffer=draw(SHARES),
        buffer_weight=draw(WEIGHTS),
    )


MOVES = st.one_of(
    st.just(model.FixedPools()),
    st.builds(model.ThresholdMoves, load=SHARES, at_once=st.integers(1, 100)),
    hysteresis(),
)
MAINTENANCE = st.builds(
    model.Maintenance,
    allowed=st.booleans(),
    at_once=st.integers(1, 100),
    min_budget=SHARES,
    spare_share=SHARES,
    drain_ms=MILLISECONDS,
)
ROUTES = st.lists(
    st.builds(
        model.Route,
        prefix=st.text(st.characters(codec="utf-8"), max_size=8).map(
            "/{}".format
        ),
        urgency=st.sampled_from(model.Urgency),
        repeatable=st.booleans(),
        methods=st.sampled_from([("GET",), ("GET", "POST"), ()]),
    ),
    max_size=3,
    unique_by=lambda route: route.prefix,
)


@st.composite
def fleets(draw):
    zones = draw(unique_names(1, 3))
    hosts = [
        model.Host(
            name=name,
            zone=(zone := draw(st.sampled_from(zones))),
            rack=f"{zone}-rack",
            address=str(ipaddress.ip_address("127.9.0.1") + index),
            cores=draw(st.integers(1, 100)),
            slots=draw(st.integers(1, 100)),
        )
        for index, name in enumerate(draw(unique_names(1, 8)))
    ]
    pools = draw(unique_names(1, 4))
    members = {pool: [] for pool in pools}
    for host in hosts:
        members[draw(st.sampled_from(pools))].append(host.name)
    spare = draw(st.sampled_from(pools))
    teams = draw(unique_names(0, 2))
    presets = draw(unique_names(1, 3))
    return model.Fleet(
        deployment=draw(NAMES),
        zones=tuple(model.Zone(name=zone, region="r") for zone in zones),
        hosts=tuple(hosts),
        pools=tuple(
            model.Pool(name=pool, hosts=tuple(names), spare=pool == spare)
            for pool, names in members.items()
        ),
        services=tuple(
            model.Service(
                name=pool,
                pool=pool,
                port=index + 1,
                team=draw(st.sampled_from(["", *teams])),
                availability=draw(
                    st.floats(0, 1, exclude_min=True, exclude_max=True)
                ),
                routes=tuple(draw(ROUTES)),
            )
            for index, pool in enumerate(pools)
        ),
        presets=tuple(
            model.Preset(
                name=name,
                moves=draw(MOVES),
                maintenance=draw(MAINTENANCE),
                targets=(model.PoolTarget(pool=spare, min_hosts=0),),
                shed_deferrable=draw(st.booleans()),
            )
            for name in presets
        ),
        preset=draw(st.sampled_from(presets)),
        teams=tuple(model.Team(name=team, host_quota=100) for team in teams),
    )


@settings(max_examples=150, deadline=None, derandomize=True, database=None)
@given(fleets())
def test_a_dumped_fleet_is_loaded_as_it_was(fleet):
    assert document.load(document.dump(fleet), "dump") == fleet


@settings(max_examples=300, deadline=None, derandomize=True, database=None)
@given(st.text(st.sampled_from("ab:-[]{}#&*!|>'\"\n ~1."), max_size=60))
def test_any_text_is_read_or_refused_with_findings(text):
    reading = document.read(text, "f")
    assert reading.fleet is None
    assert reading.findings

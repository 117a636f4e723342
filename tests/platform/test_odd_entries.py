"""Odd entries among those of the hosts, with real daemons and servers.

They change nothing for callers: no term ends, and jobs run on the hosts.
"""

import itertools

import msgspec
import pytest

from azurewood.conf import decoding
from azurewood.journal import appender
from azurewood.journal import pages
from tests.platform import malformed
from tests.platform import standin
from tests.platform import test_daemons as deployment
from tests.platform import test_malformed as valid

GOOD = {**valid.ENTRY, "service": "one", "addr": "127.0.0.1:9"}
ODD = {
    "not-json": b"\xff\x00",
    "deep": malformed.encode_json({**GOOD, "more": malformed.DEEP}),
    "deep-field": malformed.encode_json({**GOOD, "zone": malformed.DEEP}),
    "born": malformed.encode_json({**GOOD, "born": 1 << 70}),
    "cpu": malformed.encode_json({**GOOD, "capacity": {"cpu": 10**300}}),
    "negative": malformed.encode_json({**GOOD, "capacity": {"cpu": -5}}),
    "port": malformed.encode_json({**GOOD, "addr": "127.0.0.1:99999"}),
    "no-port": malformed.encode_json({**GOOD, "addr": "x"}),
    "no-host": malformed.encode_json({**GOOD, "addr": ":0"}),
    "nul": malformed.encode_json({**GOOD, "addr": "127.0.0.1:9\x00"}),
    "letters": malformed.encode_json({**GOOD, "addr": "\u00e9:80"}),
    "state": malformed.encode_json({**GOOD, "state": "asleep"}),
    "bad id\r\n": msgspec.json.encode(GOOD),
}
IDS = (f"{number:016x}" for number in itertools.count(1))


class OddWorld(standin.HttpWorld):
    """A world in which ``odd`` has the entries that replace hosts' own."""

    odd = {}

    def publish_entry(self, host):
        """Write a host's entry, or the odd one that another writer left."""
        if host.id not in self.odd:
            super().publish_entry(host)
            return
        self.write(host.id, self.odd[host.id])

    def write(self, key, value):
        """Write an entry as another writer."""
        record = appender.Record(key=key, value=value)
        self.store.add(pages.Topic.HOSTS, (record,))


@pytest.fixture
def server(monkeypatch):
    monkeypatch.setattr(OddWorld, "odd", {})
    made = standin.Server(
        port=deployment.free_port(),
        pools={"one": 3, "spare": 1},
        world=OddWorld,
    )
    made.write_operator_record(
        pages.Topic.OPERATORS, "config", deployment.MANIFEST
    )
    yield made
    made.stop()


def _write_all(server):
    with server.lock:
        for key, value in ODD.items():
            server.world.write(key, value)


@pytest.fixture
def start(server):
    """Return a function that starts two daemons, stopped at the end."""
    made = []

    def begin():
        made.extend(deployment.Daemon(n, server) for n in ("m1", "m2"))
        for daemon in made:
            deployment.wait_for(lambda d=daemon: deployment._ready(d))
        return made

    yield begin
    for daemon in made:
        daemon.daemon.stop()
    for daemon in made:
        daemon.stop()


def _run_a_job(server, daemons):
    job_id = next(IDS)
    deployment._register_job(server, job_id)
    for daemon in daemons:
        assert daemon.call("POST", f"/one/{job_id}", deployment.JOB)[0] == 200
    for daemon in daemons:
        deployment.wait_for(
            lambda d=daemon: deployment._state(d, job_id) == "completed"
        )


def _terms(daemons):
    return [
        d.daemon.member.term and d.daemon.member.term.number for d in daemons
    ]


def _check(server, daemons):
    assert all(daemon.thread.is_alive() for daemon in daemons)
    assert not server.world.rules.breaches


def test_a_leader_goes_on_while_odd_entries_come(server, start):
    daemons = start()
    deployment.wait_for(lambda: any(_terms(daemons)))
    _run_a_job(server, daemons)
    terms = _terms(daemons)
    for key, value in ODD.items():
        with server.lock:
            server.world.write(key, value)
        _run_a_job(server, daemons)
    assert _terms(daemons) == terms
    _check(server, daemons)


def test_daemons_start_while_odd_entries_are_there(server, start):
    _write_all(server)
    daemons = start()
    deployment.wait_for(lambda: any(_terms(daemons)))
    terms = _terms(daemons)
    _run_a_job(server, daemons)
    leader = daemons[0] if terms[0] else daemons[1]
    assert set(leader.daemon.member.term.state.hosts) == set(
        server.world.hosts
    )
    assert _terms(daemons) == terms
    _check(server, daemons)


@pytest.mark.parametrize("name", ["deep", "born"])
def test_hosts_are_used_while_the_entry_of_one_is_odd(server, start, name):
    daemons = start()
    deployment.wait_for(lambda: any(_terms(daemons)))
    _run_a_job(server, daemons)
    terms = _terms(daemons)
    host = next(h for h in server.world.hosts.values() if h.service == "one")
    with server.lock:
        server.world.odd[host.id] = ODD[name]
        server.world.publish_entry(host)
    for _ in range(3):
        _run_a_job(server, daemons)
    assert _terms(daemons) == terms
    _check(server, daemons)


@pytest.mark.filterwarnings(
    "ignore::pytest.PytestUnhandledThreadExceptionWarning"
)
def test_the_leader_ends_if_depth_is_no_typed_error(
    server, start, monkeypatch
):
    def decode(decoder, data):
        try:
            return decoder(data)
        except msgspec.DecodeError as exc:
            raise decoding.MalformedData(str(exc)) from exc

    daemons = start()
    deployment.wait_for(lambda: any(_terms(daemons)))
    monkeypatch.setattr(decoding, "decode", decode)
    with server.lock:
        server.world.write("deep", ODD["deep"])
    deployment.wait_for(
        lambda: not all(daemon.thread.is_alive() for daemon in daemons)
    )
    for daemon in daemons:
        if not daemon.thread.is_alive():
            for listener in daemon.daemon._servers:
                listener.stop()

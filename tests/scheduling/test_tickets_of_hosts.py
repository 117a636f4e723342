"""A ticket from the advice service holds for one incarnation of a host."""

import dataclasses

import pytest

from azurewood.jobs import catalog
from azurewood.jobs import model
from azurewood.scheduling import advice
from azurewood.scheduling import jobstates
from azurewood.scheduling import messages
from standins.fleet import hosts
from standins.fleet import platform
from tests.scheduling import deployment

ONE = model.Step(count=1, needs=model.Resources(1000, 500, 0), estimate_ms=300)
VALID_S = 60.0


@pytest.fixture
def made(monkeypatch):
    """Return a world of one host that refuses tickets of before."""
    usual = hosts.SimHost.start

    def start(self, effect, fence, step):
        if effect.ticket != str(self.incarnation_ms):
            return messages.Refusal.TICKET
        return usual(self, effect, fence, step)

    def advice_call(self, ask):
        def act(at):
            return messages.Advised(
                job=ask.job,
                occurrence=ask.occurrence,
                step=ask.step,
                tickets={
                    id: str(self._world.hosts[id].incarnation_ms)
                    for id in ask.hosts
                },
                valid_until=at + VALID_S,
            )

        return platform.SimCall(
            target=platform.MACHINES, act=act, timeout_s=1.0
        )

    monkeypatch.setattr(hosts.SimHost, "start", start)
    monkeypatch.setattr(platform.SimPlatform, "advice_call", advice_call)
    world = deployment.world(**{"s-one": 1})
    queue = dataclasses.replace(
        deployment.CATALOG.queues["one"],
        advice=catalog.Advice(
            decision_ms=1, per_host_ms=1, validity_ms=int(VALID_S * 1000)
        ),
    )
    world.configure(
        dataclasses.replace(
            deployment.CATALOG, version=2, queues={"one": queue}
        )
    )
    world.run(1.0)
    return world


def _restart_between_steps(made):
    """Restart the host while a task runs; return the job's phase later."""
    job = deployment.job(made, 1, ONE)
    made.submit(made.members[0], job)
    made.run(0.2)
    (host,) = made.hosts.values()
    assert host.runs
    host.crash()
    host.restart()
    made.publish_entry(host)
    made.run(5.0)
    deployment.check(made)
    return deployment.phase(made, job.id)


def test_a_task_starts_again_on_its_restarted_host(made):
    assert _restart_between_steps(made) is model.Phase.COMPLETED


def _is_valid(self, incarnation_ms, now):
    return now < self.valid_until


def _kept_ticket(job, key, host):
    """Return a ticket whichever incarnation of the host it is for."""
    found = job.advice.get(key[1:], {}).get(host.id)
    return found.ticket if found else ""


def test_it_waits_for_the_end_of_the_advice_if_tickets_are_kept(
    made, monkeypatch
):
    monkeypatch.setattr(advice, "drop_ticket", lambda *args: None)
    monkeypatch.setattr(jobstates.HostAdvice, "is_known", _is_valid)
    monkeypatch.setattr(advice, "ticket", _kept_ticket)
    assert _restart_between_steps(made) is model.Phase.RUNNING

from click import testing
import pytest

from standins import command_line
from standins import demo
from standins import exceptions
from standins import scenario
from standins import summary


def run(monkeypatch, *checks):
    def report(name, place):
        made = summary.Report(name=name)
        for text, held in checks:
            made.check(text, held)
        return made

    monkeypatch.setattr(demo, "_run", report)
    return testing.CliRunner().invoke(demo.main, ["--work-dir", "/nowhere"])


def test_the_exit_status_shows_whether_all_checks_held(monkeypatch):
    good = run(monkeypatch, ("no answer was wrong", True))
    assert good.exit_code == 0
    bad = run(monkeypatch, ("no answer was wrong", True), ("it moved", False))
    assert bad.exit_code == 1
    assert "NO    it moved" in bad.output
    assert "2 things that must hold did not" in bad.output


def test_a_scenario_that_raises_is_a_failure(monkeypatch, tmp_path):
    def fail(self):
        raise exceptions.StandinError("the platform ended")

    monkeypatch.setattr(scenario.Scenario, "run", fail)
    report = demo._run("al-hadeed", tmp_path)
    assert ["the platform ended" in c.text for c in report.failures] == [True]


@pytest.mark.parametrize("name", demo.EXAMPLES)
def test_each_plan_covers_the_services_of_its_deployment(name):
    path = demo.EXAMPLES_DIR / f"{name}.yaml"
    fleet = command_line.load_example(path, network=99)
    plan = scenario.PLANS[name]
    assert {r.service for r in plan.requests} == {
        service.name for service in fleet.services
    }
    hosts = {host.name: host for host in fleet.hosts}
    assert {plan.moved_host, plan.failing_host} <= hosts.keys()
    assert hosts[plan.moved_host].address.startswith("127.99.")

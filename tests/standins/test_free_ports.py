"""Ports that are chosen before the processes that listen on them start."""

from standins import processes


def test_no_two_listeners_of_a_deployment_are_given_one_port():
    ports = [processes.free_port() for _ in range(processes.RECENT_PORTS)]
    assert len(set(ports)) == len(ports)

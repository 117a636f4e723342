import sys

import pytest

from azurewood.state import reducer
from benchmarks.capacity import requests

NOW = requests.NOW


def calls(state, numbers):
    """Return the mean number of function calls per request."""
    count = 0

    def profile(frame, event, arg):
        nonlocal count
        count += event in ("call", "c_call")

    sys.setprofile(profile)
    try:
        for number in numbers:
            reducer.step(state, requests.arrived(number), NOW)
            reducer.step(state, requests.ended(number), NOW)
    finally:
        sys.setprofile(None)
    return count / len(numbers)


@pytest.fixture(scope="module")
def small():
    return calls(requests.daemon(10), range(200))


def test_a_request_costs_the_same_with_more_hosts(small):
    assert calls(requests.daemon(1000), range(200)) < 1.5 * small


def test_a_request_costs_the_same_while_others_wait(small):
    state = requests.daemon(10)
    for number in range(1000, 1000 + 80 + 1000):
        reducer.step(state, requests.arrived(number), NOW)
    waiting = state.services["service-00"].waiting
    assert waiting == 1000
    first = iter(range(1000, 2080))
    count = 0

    def profile(frame, event, arg):
        nonlocal count
        count += event in ("call", "c_call")

    sys.setprofile(profile)
    try:
        for number in range(200):
            reducer.step(state, requests.arrived(number), NOW)
            reducer.step(state, requests.ended(next(first)), NOW)
    finally:
        sys.setprofile(None)
    assert count / 200 < 1.5 * small

import itertools
import random

from standins.callers import arrivals
from standins.callers import load
from standins.callers import model
from tests.standins import conftest


def entry(port):
    return f"http://{conftest.ADDRESS}:{port}"


def calls(**options):
    for n in itertools.count():
        yield model.Call(path=f"/{n}", key=f"k{n}", **options)


def test_arrivals_are_seeded_and_follow_the_phases():
    loop = arrivals.OpenLoop(
        phases=(
            arrivals.Phase(rate_per_s=500, duration_s=2),
            arrivals.Phase(rate_per_s=0, duration_s=1),
            arrivals.Phase(rate_per_s=100, duration_s=2),
        )
    )
    first = list(arrivals.due_times(loop, rng=random.Random(7)))
    assert first == list(arrivals.due_times(loop, rng=random.Random(7)))
    counts = [sum(s <= at < s + 1 for at in first) for s in range(5)]
    assert counts[2] == 0
    assert counts[0] + counts[1] > 4 * (counts[3] + counts[4])


def test_every_call_gets_one_complete_answer(fleet):
    port = fleet.start_task("t1")
    results, summary = load.run(
        load.Load(
            entries=(entry(port),),
            calls=calls(method="POST", headers=(("Answer-Bytes", "2000"),)),
            arrivals=arrivals.ClosedLoop(duration_s=30),
            threads=4,
            max_calls=200,
        )
    )
    assert summary.answers == {model.Answer.WHOLE: 200}
    assert [r.number for r in results] == list(range(200))
    keys = sorted(e["key"] for e in fleet.executions())
    assert keys == sorted(r.call.key for r in results)


def test_faults_give_distinct_answers(fleet):
    port = fleet.start_task("t1")
    seen = {}
    for fault in ("truncate", "error", "close"):
        one = model.Call(path="/", headers=(("Fault", fault),))
        (result,), _ = load.run(
            load.Load(
                entries=(entry(port),),
                calls=[one],
                arrivals=arrivals.ClosedLoop(duration_s=30),
                threads=1,
            )
        )
        seen[fault] = result.answer
    other = model.Call(path="/", echo_path="/other")
    (result,), _ = load.run(
        load.Load(
            entries=(entry(port),),
            calls=[other],
            arrivals=arrivals.ClosedLoop(duration_s=30),
            threads=1,
        )
    )
    assert result.answer is model.Answer.WRONG
    assert seen == {
        "truncate": model.Answer.NONE,
        "error": model.Answer.ERROR,
        "close": model.Answer.NONE,
    }

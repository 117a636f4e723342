"""Simulate demand peaks that rotate among services, per move policy.

Each service in turn has a demand of five times its mean for ``PEAK_S``, then
a twentieth of its mean for ``TROUGH_S``. The simulation models the queues
slot by slot in steps of ``STEP_S`` and takes its decisions from
``azurewood.policy.moves``. The spare pool has a backlog of deferrable work,
so its slots are never idle, and late requests are not counted there.

Run ``python -m benchmarks.turns``.
"""

import collections
import collections.abc
import dataclasses
import itertools
import pathlib
import random

import click

from azurewood.fleet import document
from azurewood.fleet import model
from azurewood.policy import demand
from azurewood.policy import moves

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"
DEPLOYMENTS = ("al-hadeed", "karamanlis")

STEP_S = 0.05
PLAN_EVERY_S = 0.2
VIEW_LAG_S = 0.3
WORK_S = 0.25
MOVE_S = 0.6
SLOW_S = 0.5
MEAN_SHARE = 0.3
"""Mean demand of a service, as a share of its own pool's slots."""
PEAK_FACTOR = 5.0
TROUGH_FACTOR = 0.05
PEAK_S = 8.0
TROUGH_S = 12.0
TURN_S = 10.0
TURNS = 40


@dataclasses.dataclass(slots=True, kw_only=True)
class Score:
    """Costs of a policy: idle slot-seconds, and late or slow requests."""

    policy: str
    moves: int = 0
    idle: float = 0.0
    slot_seconds: float = 0.0
    requests: int = 0
    lost: int = 0
    slow: int = 0

    @property
    def idle_share(self) -> float:
        """Return the share of all slot-seconds that were idle."""
        return self.idle / self.slot_seconds

    @property
    def slow_share(self) -> float:
        """Return the share of requests that waited longer than ``SLOW_S``."""
        return self.slow / self.requests

    @property
    def lost_share(self) -> float:
        """Return the share of requests dropped as too late to be answered."""
        return self.lost / self.requests


@dataclasses.dataclass(slots=True, kw_only=True)
class Queue:
    """The queue and the slots of a pool.

    ``waiting`` has the deadlines of queued requests, oldest first, and
    ``busy`` the end times of running ones. ``seen`` keeps the samples of the
    last ``VIEW_LAG_S``: the daemons see the oldest of them.
    """

    service: model.Service
    spare: bool
    mean_per_s: float
    slots: int = 0
    waiting: collections.deque[float] = dataclasses.field(
        default_factory=collections.deque
    )
    busy: collections.deque[float] = dataclasses.field(
        default_factory=collections.deque
    )
    ended: int = 0
    samples: demand.Samples = dataclasses.field(
        default_factory=collections.deque
    )
    seen: collections.deque[demand.Sample] = dataclasses.field(
        default_factory=lambda: collections.deque(
            maxlen=max(1, round(VIEW_LAG_S / STEP_S))
        )
    )

    @property
    def deadline_s(self) -> float:
        """Return the deadline of a request, in seconds after its arrival."""
        return self.service.deadline_ms / 1000


class TurnsSimulation:
    """Simulation of one move policy under rotating demand peaks."""

    def __init__(
        self,
        *,
        fleet: model.Fleet,
        preset: model.Preset,
        name: str,
        seed: int = 1,
        turns: int = TURNS,
    ) -> None:
        self._turns = turns
        self._fleet = fleet
        self._preset = preset
        self._rng = random.Random(seed)
        self._hosts = {host.name: host for host in fleet.hosts}
        self._pool_of = {
            host: pool.name for pool in fleet.pools for host in pool.hosts
        }
        self._spare = {pool.name for pool in fleet.pools if pool.spare}
        self._moving: dict[str, float] = {}
        self._memory = moves.MoveDeadlines()
        self._queues = {s.pool: self._queue(s) for s in fleet.services}
        self.score = Score(policy=name)

    def _queue(self, service: model.Service) -> Queue:
        slots = sum(
            self._hosts[host].slots
            for host, pool in self._pool_of.items()
            if pool == service.pool
        )
        return Queue(
            service=service,
            spare=service.pool in self._spare,
            mean_per_s=MEAN_SHARE * slots / WORK_S,
        )

    def run(self) -> Score:
        """Run all turns and return the score."""
        for number in range(round(self._turns * TURN_S / STEP_S)):
            now = number * STEP_S
            self._complete_moves(now)
            for place, queue in enumerate(self._queues.values()):
                self._step(queue, place, now)
            if number % round(PLAN_EVERY_S / STEP_S) == 0:
                self._plan(now)
        return self.score

    def _complete_moves(self, now: float) -> None:
        for host in [h for h, at in self._moving.items() if at <= now]:
            del self._moving[host]
        slots: collections.Counter[str] = collections.Counter()
        for host, pool in self._pool_of.items():
            if host not in self._moving:
                slots[pool] += self._hosts[host].slots
        for pool, queue in self._queues.items():
            queue.slots = slots[pool]

    def _step(self, queue: Queue, place: int, now: float) -> None:
        """Simulate one step: end, add, drop and start requests."""
        while queue.busy and queue.busy[0] <= now:
            queue.busy.popleft()
            queue.ended += 1
        arrived = self._arrivals(queue, place, now)
        deadline = now + queue.deadline_s
        queue.waiting.extend(itertools.repeat(deadline, arrived))
        self._drop_late(queue, arrived, now)
        free = queue.slots - len(queue.busy)
        for _ in range(min(max(free, 0), len(queue.waiting))):
            arrived_at = queue.waiting.popleft() - queue.deadline_s
            queue.busy.append(now + WORK_S)
            if not queue.spare and now - arrived_at > SLOW_S:
                self.score.slow += 1
        queue.seen.append(
            demand.Sample(
                at=now,
                busy=len(queue.busy),
                waiting=len(queue.waiting),
                ended=queue.ended,
            )
        )
        self._record_idle(queue)

    def _arrivals(self, queue: Queue, place: int, now: float) -> int:
        """Draw a Poisson number of requests for one step."""
        period = TURN_S * len(self._queues)
        phase = (now - place * TURN_S) % period
        factor = 1.0
        if phase < PEAK_S:
            factor = PEAK_FACTOR
        elif phase < PEAK_S + TROUGH_S:
            factor = TROUGH_FACTOR
        mean = queue.mean_per_s * factor * STEP_S
        count, left = 0, self._rng.expovariate(1.0)
        while left < mean:
            count += 1
            left += self._rng.expovariate(1.0)
        return count

    def _drop_late(self, queue: Queue, arrived: int, now: float) -> None:
        if queue.spare:
            return
        self.score.requests += arrived
        while queue.waiting and queue.waiting[0] <= now + WORK_S:
            queue.waiting.popleft()
            queue.ended += 1
            self.score.lost += 1

    def _record_idle(self, queue: Queue) -> None:
        if not queue.spare:
            idle = max(0, queue.slots - len(queue.busy))
            self.score.idle += idle * STEP_S

    def _plan(self, now: float) -> None:
        loads = self._loads()
        policy = self._preset.moves
        needs = moves.find_needs(policy, loads, self._memory, now)
        wanted = moves.choose_hosts(
            policy, needs, loads, self._serving(), self._quota_left()
        )
        for move in list(wanted):
            self._pool_of[move.host] = move.to_pool
            self._moving[move.host] = now + MOVE_S
            self.score.moves += 1
        total = sum(host.slots for host in self._hosts.values())
        self.score.slot_seconds += total * PLAN_EVERY_S
        moving = sum(self._hosts[host].slots for host in self._moving)
        self.score.idle += moving * PLAN_EVERY_S

    def _serving(self) -> dict[str, list[moves.HostLoad]]:
        found: dict[str, list[moves.HostLoad]] = {
            pool: [] for pool in self._queues
        }
        for name, pool in self._pool_of.items():
            if name not in self._moving:
                host = self._hosts[name]
                found[pool].append(
                    moves.HostLoad(
                        name=name,
                        zone=host.zone,
                        rack=host.rack,
                        slots=host.slots,
                    )
                )
        return found

    def _loads(self) -> dict[str, moves.PoolLoad]:
        targets = {target.pool: target for target in self._preset.targets}
        incoming: collections.Counter[str] = collections.Counter()
        for host in self._moving:
            incoming[self._pool_of[host]] += self._hosts[host].slots
        members = self._serving()
        loads = {}
        for pool, queue in self._queues.items():
            target = targets.get(pool) or model.PoolTarget(pool=pool)
            seen = queue.seen[0]
            demand.observe(queue.samples, seen)
            loads[pool] = moves.PoolLoad(
                name=pool,
                busy=seen.busy,
                waiting=seen.waiting,
                demand=demand.slots_wanted(queue.samples),
                slots=queue.slots,
                hosts=len(members[pool]),
                incoming=incoming[pool],
                min_hosts=target.min_hosts,
                max_hosts=target.max_hosts,
                spare=queue.spare,
                team=queue.service.team,
            )
        return loads

    def _quota_left(self) -> dict[str, int]:
        team_of = {s.pool: s.team for s in self._fleet.services}
        held = collections.Counter(
            team_of[pool] for pool in self._pool_of.values()
        )
        return {t.name: t.host_quota - held[t.name] for t in self._fleet.teams}


def load_fleet(deployment: str) -> model.Fleet:
    """Read an example's configuration document."""
    path = EXAMPLES / f"{deployment}.yaml"
    return document.load(path.read_text(), str(path))


def preset_of(fleet: model.Fleet, name: str) -> model.Preset:
    """Return a preset of a configuration by its name."""
    return next(item for item in fleet.presets if item.name == name)


def score(
    fleet: model.Fleet,
    policy: model.MovePolicy,
    name: str,
    *,
    seed: int = 1,
    preset: str = "ordinary",
    turns: int = TURNS,
) -> Score:
    """Simulate one policy with a preset's targets and return its score."""
    chosen = dataclasses.replace(preset_of(fleet, preset), moves=policy)
    return TurnsSimulation(
        fleet=fleet, preset=chosen, name=name, seed=seed, turns=turns
    ).run()


def grid(
    fleet: model.Fleet,
) -> collections.abc.Iterator[tuple[str, model.MovePolicy]]:
    """Yield the policies that are compared, by name."""
    yield "fixed", model.FixedPools()
    for at_once in (1, 4):
        yield (
            f"threshold 0.8 x{at_once}",
            model.ThresholdMoves(load=0.8, at_once=at_once),
        )
    for name in ("ordinary", "peak", "maintenance"):
        yield f"hysteresis {name}", preset_of(fleet, name).moves
    ordinary = preset_of(fleet, "ordinary").moves
    for hold, at_once, gain in itertools.product(
        (300, 1000), (2, 4), (0.75, 0.85)
    ):
        yield (
            f"hysteresis {gain} {hold} ms x{at_once}",
            _hysteresis_variant(ordinary, hold, at_once, gain),
        )


def _hysteresis_variant(
    policy: model.HysteresisMoves, hold_ms: int, at_once: int, gain: float
) -> model.HysteresisMoves:
    return model.HysteresisMoves(
        gain_load=gain,
        give_load=policy.give_load,
        hold_ms=hold_ms,
        rest_ms=policy.rest_ms,
        at_once=at_once,
        buffer=policy.buffer,
        buffer_weight=policy.buffer_weight,
        roll_out_weight=policy.roll_out_weight,
        move_weight=policy.move_weight,
    )


@click.command()
@click.option("--seed", default=1, show_default=True)
def main(seed: int) -> None:
    """Print a table of the policies for each deployment."""
    for deployment in DEPLOYMENTS:
        fleet = load_fleet(deployment)
        click.echo(f"{deployment}, seed {seed}, {TURNS} turns")
        click.echo(
            f"{'policy':34}{'idle':>8}{'moves':>8}{'slow':>9}{'late':>9}"
        )
        for name, policy in grid(fleet):
            found = score(fleet, policy, name, seed=seed)
            click.echo(
                f"{name:34}{found.idle_share:8.1%}{found.moves:8}"
                f"{found.slow_share:9.2%}{found.lost_share:9.2%}"
            )


if __name__ == "__main__":
    main()

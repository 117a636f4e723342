"""The availability budgets of all services, from the daemons' counters."""

from azurewood.policy import budgets
from azurewood.state import model

OBSERVE_EVERY_S = 1.0


def tick(state: model.State, now: float) -> None:
    """Update the budgets from the counters of this daemon and its peers."""
    if state.agreed.fleet is None or now < state.budgets.observe_at:
        return
    state.budgets.observe_at = now + OBSERVE_EVERY_S
    for service in state.agreed.fleet.services:
        budget = state.budgets.by_service.setdefault(
            service.name, budgets.Budget()
        )
        until = budgets.bucket_end(now, service.window_s)
        _observe(state, budget, service.name, until)
        budgets.expire(budget, now, service.window_s)


def _observe(
    state: model.State, budget: budgets.Budget, service: str, until: float
) -> None:
    """Add the counters of all daemons for one service to its budget."""
    view = state.services.get(service)
    if view is not None:
        budgets.observe(
            budget,
            state.me.writer,
            good=view.count.good,
            bad=view.count.bad,
            until=until,
        )
    for peer in state.peers.values():
        count = peer.counts.get(service)
        if count is not None:
            budgets.observe(
                budget,
                f"{peer.name}@{peer.boot:x}",
                good=count.good,
                bad=count.bad,
                until=until,
            )


def left(state: model.State, pool: str) -> float:
    """Return the smallest share of budget left among a pool's services."""
    return min(
        (
            budgets.left(
                state.budgets.by_service[service.name], service.availability
            )
            for service in state.agreed.fleet.services
            if service.pool == pool
            and service.name in state.budgets.by_service
        ),
        default=1.0,
    )

"""Orders to machines, recorded before they are sent.

Orders of two leaders to one machine have to be separated by a pause. A
leader records the machines with recent orders before it sends an order. A
later leader, which fences the writer of the record, sends no order to the
recorded machines until the pause is over; it may use the other machines.

The pause has to cover the time until an order is sent and the time-out of
its call, after which no byte of the order arrives any more.
"""

import dataclasses
import typing

from azurewood.scheduling import messages
from azurewood.scheduling import model
from azurewood.scheduling import progress

SEND_WITHIN_S: typing.Final = 1.0
"""Longest time to store an order's record; after it no order is sent."""
RECORD_RETENTION_S: typing.Final = 4.0
"""How long an order stays in the record.

It is the platform's pause of 3 s plus ``SEND_WITHIN_S``.
"""


def issue(
    state: model.State,
    order: messages.MoveMachine | messages.MaintainMachine,
    now: float,
) -> None:
    """Record an order and send it if it is stored by ``SEND_WITHIN_S``."""
    state.ordered_at = {
        name: at
        for name, at in state.ordered_at.items()
        if at > now - RECORD_RETENTION_S
    }
    state.ordered_at[order.machine] = now
    state.values[progress.ORDERS_KEY] = progress.encode_orders(state, now)
    send_by = now + SEND_WITHIN_S
    state.emit_after_save(dataclasses.replace(order, send_by=send_by))


def restore(
    state: model.State,
    record: progress.OrdersProgress,
    pause_s: float,
    written_at: float,
) -> None:
    """Block orders to machines with recent orders of earlier leaders.

    The record was written by ``written_at``, so each order is at least as old
    as the record says. The orders are kept, since this leader's next record
    replaces the old one and its own successor may begin within the pause.
    """
    for name, age_ms in record.ages_ms.items():
        ordered_at = written_at - age_ms / 1000
        state.ordered_at[name] = ordered_at
        state.order_after[name] = ordered_at + pause_s

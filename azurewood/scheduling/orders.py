"""Orders to machines: recorded first, so that a successor waits.

Two leaders may not order about one machine within a pause. A leader records
the machines that it orders before each order. A later leader, which bars
the record's writer, leaves those alone until the pause is over, and no
others.

So these have to fit into the pause: the time until an order leaves, and
that until its call is given up, after which no byte of it arrives.
"""

import dataclasses
import typing

from azurewood.scheduling import messages
from azurewood.scheduling import model
from azurewood.scheduling import progress

SEND_WITHIN_S: typing.Final = 1.0
"""How long an order's record may take; later it is not sent at all."""
RECORD_RETENTION_S: typing.Final = 4.0
"""How long an order stays on record: the platform's pause of 3 s and
``SEND_WITHIN_S``."""


def issue(
    state: model.State,
    order: messages.MoveMachine | messages.MaintainMachine,
    now: float,
) -> None:
    """Give an order, once it is on record, if that is soon."""
    state.ordered_at = {
        name: at
        for name, at in state.ordered_at.items()
        if at > now - RECORD_RETENTION_S
    }
    state.ordered_at[order.machine] = now
    state.values[progress.ORDERS_KEY] = progress.encode_orders(
        state.ordered_at, now
    )
    send_by = now + SEND_WITHIN_S
    state.emit_after_save(dataclasses.replace(order, send_by=send_by))


def restore(
    state: model.State,
    record: progress.OrdersProgress,
    pause_s: float,
    now: float,
) -> None:
    """Leave the machines alone that earlier leaders ordered last.

    The record was written before ``now``, so each order is at least as old
    as the record says. The orders stay on record: this leader's replaces
    the record, and its own successor may come within the pause.
    """
    for name, age_ms in record.ages_ms.items():
        ordered_at = now - age_ms / 1000
        state.ordered_at[name] = ordered_at
        state.order_after[name] = ordered_at + pause_s

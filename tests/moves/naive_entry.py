"""An entry daemon that hands a host over without waiting for the stop."""

import functools

from azurewood.commands import main as commands
from azurewood.policy import placement
from azurewood.state import duties
from azurewood.state import model


def main():
    """Run ``azurewood`` with the naive hand-over."""
    duties.HostDuties = functools.partial(
        duties.HostDuties, hand_over=placement.AtOnce()
    )
    model.State = functools.partial(model.State, steward=duties.HostDuties())
    commands.main()


if __name__ == "__main__":
    main()

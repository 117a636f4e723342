"""An entry daemon that hands over a host before its job has stopped."""

import functools

from azurewood.commands import main as commands
from azurewood.policy import placement
from azurewood.state import duties
from azurewood.state import model


def main():
    """Run ``azurewood`` with the baseline hand-over."""
    duties.HostDuties = functools.partial(
        duties.HostDuties, hand_over=placement.AtOnce()
    )
    model.State = functools.partial(model.State, steward=duties.HostDuties())
    commands.main()


if __name__ == "__main__":
    main()

"""An entry daemon that hands a host over without waiting for the stop."""

import functools

from azurewood.commands import main as commands
from azurewood.policy import placement
from azurewood.state import model


def main():
    """Run ``azurewood`` with the naive hand-over."""
    model.Stewardship = functools.partial(
        model.Stewardship, hand_over=placement.AtOnce()
    )
    model.State = functools.partial(model.State, steward=model.Stewardship())
    commands.main()


if __name__ == "__main__":
    main()

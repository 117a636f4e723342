"""An entry daemon that drains every host of a wave at once."""

import functools

from azurewood.commands import main as commands
from azurewood.policy import maintenance
from azurewood.state import duties
from azurewood.state import model


def main():
    """Run ``azurewood`` with the baseline wave policy."""
    baseline = duties.Budgets(wave_policy=maintenance.AllAtOnce())
    model.State = functools.partial(model.State, budgets=baseline)
    commands.main()


if __name__ == "__main__":
    main()

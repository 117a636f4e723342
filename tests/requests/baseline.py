"""An entry daemon with one policy replaced by its baseline."""

import sys

from azurewood.commands import main
from azurewood.daemons import entry
from azurewood.policy import claims
from azurewood.policy import hedging
from azurewood.policy import slots

POLICIES = {
    "no-claims": {"at_most_once": claims.NoClaims()},
    "fixed-share": {"slots": slots.FixedShare()},
    "no-hedging": {"hedging": hedging.NoHedging()},
}


def replace_policy(name):
    """Make the daemons of this process start with a baseline policy."""
    make_state = entry._state

    def make_baseline(settings):
        state = make_state(settings)
        for field, policy in POLICIES[name].items():
            setattr(state.policies, field, policy)
        return state

    entry._state = make_baseline


if __name__ == "__main__":
    replace_policy(sys.argv[1])
    main.main(args=sys.argv[2:])

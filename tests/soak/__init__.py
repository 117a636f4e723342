"""A randomized soak: daemons as processes, faults from outside them."""

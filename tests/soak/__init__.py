"""A randomized soak test: daemon processes under injected faults."""

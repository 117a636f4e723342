"""In-memory simulation of the platform: store, hosts and machines.

The daemons' production code runs on it, under one simulated clock. All
randomness comes from one seeded generator, so a run is reproducible.
"""

"""The users' platform in memory: store, hosts, machines, under one clock.

Members of the fleet run the daemons' own code on it. All randomness comes
from one seeded generator, so a run repeats.
"""

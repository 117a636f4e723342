"""Limits on the leases of a host and on calls that it carries out late."""

import typing

LEASE_MS: typing.Final = 5900
"""Length of a lease, just under the longest that hosts accept (6 s)."""
MAX_LEASE_S: typing.Final = 6.4
"""Longest duration of a lease by the leader's clock.

A host's clock may be 2% slow.
"""
MAX_START_DELAY_S: typing.Final = 12.0
"""Longest time after which a host carries out a start without an answer, or
a lease renewal."""

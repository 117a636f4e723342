"""Settings of the fleet daemon, whatever file they come from."""

import dataclasses

from azurewood.conf import kinds


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class FleetSettings:
    """Where a fleet daemon listens, and whom it calls.

    ``stop_within_s`` is the time from SIGTERM to SIGKILL. Two leaders may
    not order about a machine within ``turn_pause_s``. A job's state is
    shown for ``retention_s`` after its end. ``advice_url`` is empty if
    there is no advice service. ``metrics`` is None if none are served.
    ``cores`` is the daemon's processor, 0 if it is not known.
    """

    name: str
    zone: str
    front: kinds.Address
    ready: kinds.Address
    store_url: str
    machines_url: str
    advice_url: str
    stop_within_s: float
    turn_pause_s: float
    retention_s: float
    cores: float = 0.0
    metrics: kinds.Address | None = None

"""Settings of the fleet daemon, independent of their file format."""

import dataclasses

from azurewood.conf import kinds


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class FleetSettings:
    """Listeners, services to call and time limits of a fleet daemon.

    ``stop_within_s`` is the time from SIGTERM to SIGKILL. Two leaders may
    not send orders for the same machine within ``turn_pause_s`` of each
    other. The state of a job can be read for ``retention_s`` after its end.
    ``advice_url`` is empty if there is no advice service. ``metrics`` is
    the address that serves metrics, None if there is none. ``cores`` is
    the number of processor cores of the daemon, 0 if unknown. A topic of
    the store has ``store_partitions`` at most, and a record of it
    ``store_record_bytes``. With ``learned_durations`` a leader corrects
    callers' estimates and passes over slow hosts.
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
    store_partitions: int = 1
    store_record_bytes: int = 262144
    cores: float = 0.0
    metrics: kinds.Address | None = None
    learned_durations: bool = True

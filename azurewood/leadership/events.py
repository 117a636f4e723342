"""What the election is told, and the append that it asks for."""

import dataclasses
import math

from azurewood.leadership import records


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Read:
    """Records read from ``offset`` on; the call began at ``began_at``.

    ``ready`` is whether this daemon could start to schedule immediately.
    What was appended before ``fresh_at`` has been read now.
    """

    offset: int
    entries: tuple[records.Entry | None, ...]
    end: int
    began_at: float
    ready: bool = False
    fresh_at: float = -math.inf


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Stored:
    """An append was stored. Its call began at ``began_at``."""

    offset: int
    entry: records.Entry
    began_at: float


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class AppendFailed:
    """An append failed or was refused, or its outcome is unknown."""

    entry: records.Entry


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Tick:
    """Time has passed."""


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Append:
    """A request to append an entry if the log ends at offset ``at``."""

    entry: records.Entry
    at: int


Event = Read | Stored | AppendFailed | Tick

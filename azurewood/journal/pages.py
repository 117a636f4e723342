"""What is read from the store, and which topics there are."""

import dataclasses
import enum

from azurewood.journal import appender


class Topic(enum.Enum):
    """A topic of the store.

    ``OPERATORS`` and ``HOSTS`` are written by others, ``REPORTS`` is read
    by operators; the rest are azurewood's own.
    """

    JOBS = "jobs"
    PROGRESS = "progress"
    LEADER = "leader"
    OPERATORS = "operators"
    HOSTS = "hosts"
    REPORTS = "reports"


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Page:
    """Records from ``offset`` on; the topic ends at ``end``."""

    offset: int
    records: tuple[appender.Record, ...]
    end: int
    first: int


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Trimmed:
    """The wanted records are gone; the oldest that is left."""

    first: int


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Newest:
    """The newest records of some keys; ``more`` if there are others.

    Pages are no snapshot: changes from the first page's ``end`` on have to
    be read as well. They come in the order of the keys; ``offsets`` tells
    in which order the records were appended.
    """

    records: tuple[appender.Record, ...]
    offsets: tuple[int, ...]
    more: bool
    end: int


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Failed:
    """The store did not answer as it should."""

    reason: str


ReadResult = Page | Trimmed | Failed
NewestResult = Newest | Failed

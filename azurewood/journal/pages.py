"""The topics of the store, and the results of reading them."""

import dataclasses
import enum

from azurewood.journal import appender


class Topic(enum.Enum):
    """A topic of the store.

    The platform writes ``OPERATORS`` and ``HOSTS``, and operators read
    ``REPORTS``. The other topics are used by azurewood only. ``INTAKE`` has
    several partitions, the others have one.
    """

    JOBS = "jobs"
    INTAKE = "intake"
    PROGRESS = "progress"
    LEADER = "leader"
    OPERATORS = "operators"
    HOSTS = "hosts"
    REPORTS = "reports"


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Page:
    """Records from ``offset`` on, and the bounds of the topic.

    ``first`` is the oldest offset in the topic, ``end`` the next free one.
    """

    offset: int
    records: tuple[appender.Record, ...]
    end: int
    first: int


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Trimmed:
    """The requested records were deleted; ``first`` is the oldest offset."""

    first: int


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Newest:
    """The newest record of each of some keys, sorted by key.

    ``more`` is true if there are further pages. The pages are not a
    consistent snapshot: changes from the first page's ``end`` on must be
    read as well. ``offsets`` gives the order in which the records were
    appended.
    """

    records: tuple[appender.Record, ...]
    offsets: tuple[int, ...]
    more: bool
    end: int


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Failed:
    """The store gave no usable answer."""

    reason: str


ReadResult = Page | Trimmed | Failed
NewestResult = Newest | Failed

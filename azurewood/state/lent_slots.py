"""State of the slots that daemons lend to each other."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class LentSlot:
    """A slot lent to a peer, or borrowed from one, until a deadline.

    ``request`` is the id under which it was lent. The borrower starts no
    request on it after ``until``; ``idle_since`` is when the borrower last
    used it.
    """

    peer: str
    until: float
    request: int = 0
    idle_since: float = 0.0


@dataclasses.dataclass(slots=True, kw_only=True)
class SettlingSlot:
    """A slot that this daemon owns but earlier owners may still use.

    It is usable when all daemons in ``awaiting`` have reported it free, or
    after ``until``.
    """

    awaiting: set[str]
    until: float


@dataclasses.dataclass(slots=True, kw_only=True)
class SlotRequest:
    """A request to borrow slots from a peer.

    ``answered`` is set once the peer has lent some.
    """

    peer: str
    service: str
    at: float
    count: int
    answered: bool = False


@dataclasses.dataclass(slots=True, kw_only=True)
class SlotReturn:
    """A borrowed slot that is being returned to its owner."""

    peer: str
    service: str
    request: int
    host: str
    number: int


@dataclasses.dataclass(slots=True, kw_only=True)
class Lending:
    """State of lending and borrowing slots.

    ``asks`` holds the open requests for slots, ``hosts`` the hosts with lent
    or borrowed slots, and ``settling`` those with settling ones. For a
    service and a peer, ``dry`` is when a peer that had no slot left may be
    asked again, and ``pending`` when its answer is no longer awaited.
    ``is_viewed`` is set once the hosts have been seen for the first time.
    """

    asks: dict[int, SlotRequest] = dataclasses.field(default_factory=dict)
    dry: dict[str, dict[str, float]] = dataclasses.field(default_factory=dict)
    pending: dict[str, dict[str, float]] = dataclasses.field(
        default_factory=dict
    )
    ask_at: dict[str, float] = dataclasses.field(default_factory=dict)
    returns: list[SlotReturn] = dataclasses.field(default_factory=list)
    hosts: set[str] = dataclasses.field(default_factory=set)
    settling: set[str] = dataclasses.field(default_factory=set)
    settle_s: float = 0.0
    take_over: int = 0
    take_over_at: float = 0.0
    is_viewed: bool = False

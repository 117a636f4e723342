"""HTTP calls to make, and what came of them."""

import dataclasses
import enum

from azurewood.policy import host_connections

Priority = host_connections.Priority


class Outcome(enum.Enum):
    """Whether a call was answered, not sent, or may have been processed."""

    ANSWERED = "answered"
    NOT_SENT = "not sent"
    UNKNOWN = "unknown"


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Call:
    """A call to make; the answer must be complete within ``timeout_ms``.

    With ``progress_timeout_ms`` it also fails once no byte of its answer has
    arrived for so long.

    A call that has not been sent by ``send_by``, on the multiplexer's clock,
    is not sent at all. Causes of such a delay are busy connections, a slow
    handshake or a process that was stopped.

    With ``connected_by`` it is only sent over a connection that has answered
    before and was made by then. Nothing else reaches just the process that
    had the address at that time.

    With a ``priority`` it is queued for a connection to its address. The
    wait is part of ``timeout_ms``; a call that still waits then ends as
    not sent.
    """

    method: str
    url: str
    headers: tuple[str, ...] = ()
    body: bytes | None = None
    timeout_ms: int
    progress_timeout_ms: int | None = None
    send_by: float | None = None
    connected_by: float | None = None
    priority: Priority | None = None


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Reply:
    """The result of a call; ``status`` and ``body`` are set if answered.

    ``sent_at`` is when the call was submitted and ``at`` when it ended, both
    on the multiplexer's clock. ``written_at`` is just before the request of
    an answered call was last written, when its connection had been made.
    ``writes`` is how often the request was written: more than once only a
    GET whose reused connection was reset.
    ``disconnected`` is whether a call with ``connected_by`` failed for want
    of such a connection, or as it was closed, and not for want of time.
    ``new_reset`` is whether a connection that was made for the call ended
    before any answer, as with a server that has no more of them.
    """

    outcome: Outcome
    status: int = 0
    body: bytes = b""
    reason: str = ""
    sent_at: float
    at: float
    written_at: float = 0.0
    writes: int = 0
    disconnected: bool = False
    new_reset: bool = False

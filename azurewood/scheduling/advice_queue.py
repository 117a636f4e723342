"""The steps that wait for advice, and the calls that are open."""

from azurewood.scheduling import jobstates

Incarnations = dict[str, int]
"""The hosts of a call: the incarnation of each in Unix ms, by its id."""


class OpenCall:
    """A call that is open: the service's time for it, and its hosts."""

    __slots__ = ("answer_ms", "incarnations")

    def __init__(self, *, answer_ms: int, incarnations: Incarnations) -> None:
        self.answer_ms = answer_ms
        self.incarnations = incarnations


class AdviceQueue:
    """The calls of a leader to the advice service.

    ``waiting`` has the noted steps of each pool in the order of their jobs,
    each with the hosts to ask about. ``open_calls`` has the open call of each
    step that has one. ``asked_at`` is when the latest call for each pool was
    sent. No call is sent before ``paused_until``; ``failures`` counts the
    failed calls since the last answer.
    """

    __slots__ = (
        "asked_at",
        "failures",
        "open_calls",
        "paused_until",
        "waiting",
    )

    def __init__(self) -> None:
        self.waiting: dict[str, dict[jobstates.StepKey, Incarnations]] = {}
        self.open_calls: dict[jobstates.StepKey, OpenCall] = {}
        self.asked_at: dict[str, float] = {}
        self.paused_until = 0.0
        self.failures = 0

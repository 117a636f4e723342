"""What a leader learns of durations, and how it is stored and reported."""

from azurewood.policy import durations


class Learning:
    """The model of durations of a leader, see `azurewood.policy.durations`.

    The model learns always; its predictions are ``used`` unless the daemon's
    settings say otherwise. It is not ``storable`` if the stored record cannot
    be read. A ``changed`` model is stored from ``store_at`` on with other
    records, or from ``store_alone_at`` on without any. ``samples`` were added
    since the latest report, of which ``estimated`` had estimates; the sums of
    their absolute errors are in logarithms.
    """

    __slots__ = (
        "changed",
        "check_at",
        "estimate_errors",
        "estimated",
        "log_at",
        "model",
        "prediction_errors",
        "samples",
        "storable",
        "store_alone_at",
        "store_at",
        "used",
    )

    def __init__(self) -> None:
        self.model = durations.DurationModel()
        self.used = True
        self.storable = True
        self.changed = False
        self.store_at = 0.0
        self.store_alone_at = 0.0
        self.check_at = 0.0
        self.log_at = 0.0
        self.clear_errors()

    def clear_errors(self) -> None:
        """Begin a new report."""
        self.samples = 0
        self.estimated = 0
        self.estimate_errors = 0.0
        self.prediction_errors = 0.0

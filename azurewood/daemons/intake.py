"""The leader's side of the intake: copies its jobs to the jobs topic.

Daemons store accepted jobs in the intake while the jobs' only partition is
too slow for all of their appends, see `azurewood.policy.intake`. The leader
copies each of them as the record that the daemon would have stored itself,
and deletes it from the intake once the copy is stored. The copies are fenced
with the leader's other records, so no copy is stored after a takeover.
"""

from collections import abc
import math
import typing

from loguru import logger

from azurewood.daemons import ports
from azurewood.daemons import topics
from azurewood.jobs import records
from azurewood.jobs import registry as registries
from azurewood.journal import appender
from azurewood.journal import follower
from azurewood.journal import pages
from azurewood.policy import intake as policy

READ_PAUSE_S: typing.Final = 0.02
IN_USE_WAIT_MS: typing.Final = 1000
IDLE_WAIT_MS: typing.Final = 5000
"""How long the store holds a read open while nobody uses the intake. Only
appends that are carried out late arrive then."""
IN_USE_S: typing.Final = 10.0
"""How long the intake counts as in use after the newest slow append: longer
than the store takes to carry out a late append."""
UNUSED_AFTER_S: typing.Final = policy.IN_USE_VALID_S + appender.MAX_DELAY_S
"""Time after the newest report of slow appends from which no job comes into
the intake: daemons consider the report for so long, and appends are late."""

Append = abc.Callable[[tuple[appender.Record, ...], topics.OnStored], None]


class IntakeCopier:
    """Copies the intake's jobs during one term.

    ``append`` stores records in the jobs topic and calls back once they are
    stored. ``out_of_sequence`` is whether no copied job can be deleted any
    more in this term, as the store refused a sequence number.
    """

    __slots__ = (
        "_append",
        "_began_at",
        "_calls",
        "_clock",
        "_in_use_until",
        "_platform",
        "_readers",
        "_registry",
        "_uncopied",
        "_writers",
        "out_of_sequence",
    )

    def __init__(
        self,
        *,
        platform: ports.Platform,
        calls: ports.Calls,
        clock: abc.Callable[[], float],
        registry: registries.JobRegistry,
        partitions: int,
        producer: str,
        epoch: int,
        append: Append,
    ) -> None:
        self._platform = platform
        self._calls = calls
        self._clock = clock
        self._registry = registry
        self._append = append
        # Earlier leaders may have reported slow appends until now.
        self._began_at = clock()
        self._in_use_until = self._began_at + IN_USE_S
        self._uncopied: set[str] = set()
        self.out_of_sequence = False
        self._readers = [
            follower.Follower(
                topic=pages.Topic.INTAKE,
                part=part,
                keyed=True,
                wait_ms=IN_USE_WAIT_MS,
                pause_s=READ_PAUSE_S,
            )
            for part in range(partitions)
        ]
        self._writers = [
            topics.Writer(
                platform=platform,
                calls=calls,
                clock=clock,
                topic=pages.Topic.INTAKE,
                part=part,
                producer=producer,
                epoch=epoch,
            )
            for part in range(partitions)
        ]

    @property
    def complete(self) -> bool:
        """Whether each job that was listed is copied and deleted here."""
        return not self._uncopied and all(r.listed for r in self._readers)

    def copied_at(self, now: float, *, slow_reported_at: float) -> float:
        """Return up to when each job in the intake is copied, if all are.

        Appends were last reported to be slow at ``slow_reported_at``. The
        store holds reads open, so the newest ones are some seconds old; but
        once the intake has been read that can't be in use any more, there is
        nothing to read until the next report.
        """
        if not self.complete:
            return -math.inf
        read_at = min(reader.fresh_at for reader in self._readers)
        used_by = max(self._began_at, slow_reported_at) + UNUSED_AFTER_S
        return now if read_at >= used_by else read_at

    def step(self, now: float, *, slow: bool) -> None:
        """Make due calls; ``slow`` is whether daemons use the intake now."""
        if slow:
            self._in_use_until = now + IN_USE_S
        for writer in self._writers:
            writer.set_slow(slow)
        in_use = now < self._in_use_until
        for reader in self._readers:
            if reader.next_at() is None:
                continue
            reader.wait_ms = IN_USE_WAIT_MS if in_use else IDLE_WAIT_MS
            topics.read(
                self._platform,
                self._calls,
                self._clock,
                reader,
                lambda changes, part=reader.part: self._on_read(part, changes),
            )
        if self._uncopied:
            for writer in self._writers:
                writer.step(now)
            self.out_of_sequence = any(
                writer.out_of_sequence for writer in self._writers
            )

    def _on_read(self, part: int, changes: follower.Changes) -> None:
        found = tuple(r for r in changes.records if r.value is not None)
        if not found:
            return
        new = tuple(record for record in found if self._is_new(record.key))
        keys = tuple(record.key for record in found)
        self._uncopied.update(keys)
        logger.bind(
            event="intake.read", part=part, jobs=len(found), new=len(new)
        ).info("copying accepted jobs from the intake")
        if new:
            self._append(new, lambda offset: self._delete(part, keys))
        else:
            self._delete(part, keys)

    def _is_new(self, key: str) -> bool:
        job_id = records.job_of(key)
        known = self._registry
        return job_id not in known.entries and job_id not in known.unreadable

    def _delete(self, part: int, keys: tuple[str, ...]) -> None:
        removed = tuple(appender.Record(key=key, value=None) for key in keys)
        self._writers[part].add(
            removed, lambda offset: self._uncopied.difference_update(keys)
        )

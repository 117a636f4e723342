"""Interfaces that the fleet daemon requires of a platform adapter.

Every method either builds a call or decodes an answer into a type of
azurewood. The methods contain no policy.
"""

from collections import abc
import typing

from azurewood.http import call_queues
from azurewood.http import exchanges
from azurewood.jobs import catalog
from azurewood.jobs import desk
from azurewood.journal import appender
from azurewood.journal import pages
from azurewood.scheduling import messages

Application = abc.Callable[..., abc.Iterable[bytes]]


class Calls(typing.Protocol):
    """Makes calls and passes every reply to the call's callback.

    ``waited_s`` is the total time that its thread was idle.
    """

    waited_s: float

    @property
    def under_way(self) -> int:
        """The number of calls without a reply yet."""

    def submit(
        self,
        call: exchanges.Call,
        done: abc.Callable[[exchanges.Reply], None],
    ) -> None:
        """Begin a call."""

    def close_limited(self) -> None:
        """Close the connections of all calls with a priority.

        Those calls that wait end as not sent.
        """

    def queue_lengths(self) -> abc.Iterable[call_queues.QueueLength]:
        """Return the lengths of the queues in which calls wait."""


class Platform(typing.Protocol):
    """Builds the calls and decodes the answers of a platform."""

    def append(
        self,
        topic: pages.Topic,
        request: appender.Request,
        producer: str,
        *,
        part: int = 0,
    ) -> exchanges.Call:
        """Return a call that appends records with a sequence number."""

    def begin_epoch(
        self, topic: pages.Topic, producer: str, epoch: int
    ) -> exchanges.Call:
        """Return a call that fences earlier epochs of a producer."""

    def append_at(
        self, topic: pages.Topic, data: bytes, at: int
    ) -> exchanges.Call:
        """Return a call that appends a record if the topic ends at ``at``."""

    def append_result(self, reply: exchanges.Reply) -> appender.Result:
        """Decode the answer to an append or a new epoch."""

    def read(
        self, topic: pages.Topic, offset: int, wait_ms: int, *, part: int = 0
    ) -> exchanges.Call:
        """Return a call that reads records from an offset on."""

    def read_result(
        self, topic: pages.Topic, offset: int, reply: exchanges.Reply
    ) -> pages.ReadResult:
        """Decode the answer to a read."""

    def newest(
        self, topic: pages.Topic, after: str, *, part: int = 0
    ) -> exchanges.Call:
        """Return a call that lists newest records of keys above ``after``."""

    def newest_result(self, reply: exchanges.Reply) -> pages.NewestResult:
        """Decode a page of newest records."""

    def host_call(self, effect: messages.Effect) -> exchanges.Call:
        """Return a call that carries out an effect on a host."""

    def host_event(
        self, effect: messages.Effect, reply: exchanges.Reply
    ) -> messages.Event | None:
        """Decode a host's answer; None if it means no event."""

    def machines_call(self, token: str) -> exchanges.Call:
        """Return a call that reads a page of the list of machines."""

    def machines_page(self, reply: exchanges.Reply) -> typing.Any:
        """Decode a page of the list of machines."""

    def order_call(self, order: messages.Effect, fence: int) -> exchanges.Call:
        """Return a call that sends an order about a machine."""

    def order_result(self, reply: exchanges.Reply) -> messages.OrderResult:
        """Decode the answer to an order."""

    def advice_call(self, ask: messages.AskAdvice) -> exchanges.Call:
        """Return a call that asks which hosts may run a step."""

    def advice_event(
        self, ask: messages.AskAdvice, reply: exchanges.Reply
    ) -> messages.Advised | messages.AdviceFailed:
        """Decode the advice about a step's hosts, or that there is none."""

    def operators_record(
        self, record: appender.Record
    ) -> catalog.Catalog | messages.WaveRequested | None:
        """Decode an operators' record; None if it is of another kind."""

    def host_record(
        self, record: appender.Record
    ) -> messages.HostSeen | messages.HostGone | None:
        """Decode a host's entry; None if it is malformed."""

    def wave_report(self, report: messages.ReportWave) -> appender.Record:
        """Encode the progress of a wave."""

    def callers(self, job_service: desk.JobService) -> Application:
        """Return the WSGI application for callers."""

    def readiness(self, job_service: desk.JobService) -> Application:
        """Return the WSGI application for load balancers' health checks."""

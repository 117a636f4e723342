"""What the fleet daemon needs of a platform, whichever it is.

Every method either makes a call from a wish of the product or decodes an
answer into one of its types. None decides anything.
"""

from collections import abc
import typing

from azurewood.http import multiplex
from azurewood.jobs import catalog
from azurewood.jobs import desk
from azurewood.journal import appender
from azurewood.journal import pages
from azurewood.scheduling import messages

Application = abc.Callable[..., abc.Iterable[bytes]]


class Calls(typing.Protocol):
    """Makes calls and hands each reply to its callback, always.

    ``waited_s`` is how long its thread has waited for something to do.
    """

    waited_s: float

    @property
    def under_way(self) -> int:
        """How many calls have no reply yet."""

    def submit(
        self,
        call: multiplex.Call,
        done: abc.Callable[[multiplex.Reply], None],
    ) -> None:
        """Begin a call."""


class Platform(typing.Protocol):
    """Calls and answers of one platform."""

    def append(
        self, topic: pages.Topic, request: appender.Request, producer: str
    ) -> multiplex.Call:
        """Append records under a producer's sequence number."""

    def begin_epoch(
        self, topic: pages.Topic, producer: str, epoch: int
    ) -> multiplex.Call:
        """Bar earlier epochs of a producer from a topic."""

    def append_at(
        self, topic: pages.Topic, data: bytes, at: int
    ) -> multiplex.Call:
        """Append a record if the topic ends at an offset."""

    def append_result(self, reply: multiplex.Reply) -> appender.Result:
        """Decode the answer to any append."""

    def read(
        self, topic: pages.Topic, offset: int, wait_ms: int
    ) -> multiplex.Call:
        """Read records from an offset on."""

    def read_result(
        self, topic: pages.Topic, offset: int, reply: multiplex.Reply
    ) -> pages.ReadResult:
        """Decode the answer to a read."""

    def newest(self, topic: pages.Topic, after: str) -> multiplex.Call:
        """Read the newest records of keys after one."""

    def newest_result(self, reply: multiplex.Reply) -> pages.NewestResult:
        """Decode a page of newest records."""

    def host_call(self, effect: messages.Effect, fence: int) -> multiplex.Call:
        """Carry out an effect on a host."""

    def host_event(
        self, effect: messages.Effect, reply: multiplex.Reply
    ) -> messages.Event | None:
        """Decode a host's answer."""

    def machines_call(self, token: str) -> multiplex.Call:
        """Read a page of the list of machines."""

    def machines_page(self, reply: multiplex.Reply) -> typing.Any:
        """Decode a page of the list of machines."""

    def order_call(self, order: messages.Effect, fence: int) -> multiplex.Call:
        """Give a machine an order."""

    def order_result(self, reply: multiplex.Reply) -> messages.OrderResult:
        """Decode the answer to an order."""

    def advice_call(self, ask: messages.AskAdvice) -> multiplex.Call:
        """Ask which hosts may run a step."""

    def advice_event(
        self, ask: messages.AskAdvice, reply: multiplex.Reply
    ) -> messages.Advised | None:
        """Decode advice."""

    def operators_record(
        self, record: appender.Record
    ) -> catalog.Catalog | messages.WaveRequested | None:
        """Decode what operators wrote; None if it is none of ours."""

    def host_record(
        self, record: appender.Record
    ) -> messages.HostSeen | messages.HostGone | None:
        """Decode a host's entry; None if it cannot be read."""

    def wave_report(self, report: messages.ReportWave) -> appender.Record:
        """Encode how far a wave is."""

    def callers(self, job_service: desk.JobService) -> Application:
        """Return the application of callers' requests."""

    def readiness(self, job_service: desk.JobService) -> Application:
        """Return the application that balancers ask."""

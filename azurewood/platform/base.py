"""The platform adapter's interface to the fleet daemon."""

import typing

from azurewood.conf import fleet
from azurewood.daemons import ports
from azurewood.http import exchanges
from azurewood.jobs import catalog
from azurewood.jobs import desk
from azurewood.journal import appender
from azurewood.journal import pages
from azurewood.platform import catalogs
from azurewood.platform import exceptions
from azurewood.platform import frontdoor
from azurewood.platform import hosts
from azurewood.platform import machines
from azurewood.platform import store
from azurewood.platform import unreadable
from azurewood.scheduling import messages

CONFIG_KEY: typing.Final = "config"
WAVE_PREFIX: typing.Final = "wave/"
APPEND_TIMEOUT_MS: typing.Final = 800
"""An append takes about 7 ms, and up to 0.5 s while the store is slow."""


class UsersPlatform:
    """Encodes calls to the users' platform and decodes its replies.

    Methods that return a ``exchanges.Call`` send nothing: the daemon makes
    the call and passes the reply to the method that decodes it.
    """

    __slots__ = ("_settings", "_unreadable_hosts", "_unreadable_operators")

    def __init__(self, *, settings: fleet.FleetSettings) -> None:
        self._settings = settings
        self._unreadable_hosts = unreadable.UnreadableRecords()
        self._unreadable_operators = unreadable.UnreadableRecords()

    def append(
        self,
        topic: pages.Topic,
        request: appender.Request,
        producer: str,
        *,
        part: int = 0,
    ) -> exchanges.Call:
        """Return the call that appends records with a sequence number."""
        url = self._settings.store_url
        return store.append(url, topic, request, producer, part=part)

    def begin_epoch(
        self, topic: pages.Topic, producer: str, epoch: int
    ) -> exchanges.Call:
        """Return the call that fences a producer's earlier epochs."""
        url = self._settings.store_url
        return store.begin_epoch(
            url, topic, producer, epoch, APPEND_TIMEOUT_MS
        )

    def append_at(
        self, topic: pages.Topic, data: bytes, at: int
    ) -> exchanges.Call:
        """Return the call that appends a record at the topic's end.

        The store refuses the append unless the topic ends at ``at``.
        """
        url = self._settings.store_url
        return store.append_at(url, topic, data, at, APPEND_TIMEOUT_MS)

    def append_result(self, reply: exchanges.Reply) -> appender.Result:
        """Decode the reply to an append of any kind."""
        return store.append_result(reply)

    def read(
        self, topic: pages.Topic, offset: int, wait_ms: int, *, part: int = 0
    ) -> exchanges.Call:
        """Return the call that reads records starting at an offset."""
        url = self._settings.store_url
        return store.read(url, topic, offset, wait_ms, part=part)

    def read_result(
        self, topic: pages.Topic, offset: int, reply: exchanges.Reply
    ) -> pages.ReadResult:
        """Decode the reply to a read."""
        return store.read_result(topic, offset, reply)

    def newest(
        self, topic: pages.Topic, after: str, *, part: int = 0
    ) -> exchanges.Call:
        """Return the call that reads the newest record of each key.

        ``after`` is the last key of the previous page, empty for the first.
        """
        return store.newest(self._settings.store_url, topic, after, part=part)

    def newest_result(self, reply: exchanges.Reply) -> pages.NewestResult:
        """Decode a page of newest records."""
        return store.newest_result(reply)

    def host_call(self, effect: messages.Effect) -> exchanges.Call:
        """Return the call that carries out an effect on a host."""
        return hosts.call(effect)

    def host_event(
        self, effect: messages.Effect, reply: exchanges.Reply
    ) -> messages.Event | None:
        """Decode a host's reply to an effect.

        Return None if the reply to this kind of effect is not used.
        """
        return hosts.event(effect, reply)

    def machines_call(self, token: str) -> exchanges.Call:
        """Return the call that reads a page of the machine list.

        ``token`` comes from the previous page and is empty for the first.
        """
        return machines.list_call(self._settings.machines_url, token)

    def machines_page(
        self, reply: exchanges.Reply
    ) -> machines.MachinePage | None:
        """Decode a page of the machine list; None if the read failed."""
        return machines.list_page(reply)

    def order_call(self, order: messages.Effect, fence: int) -> exchanges.Call:
        """Return the call that sends an order for a machine."""
        url = self._settings.machines_url
        return machines.order_call(url, order, self._settings.name, fence)

    def order_result(self, reply: exchanges.Reply) -> messages.OrderResult:
        """Decode the reply to an order."""
        return machines.order_result(reply)

    def advice_call(self, ask: messages.AskAdvice) -> exchanges.Call:
        """Return the call that asks which hosts may run a step."""
        return machines.advice_call(self._settings.advice_url, ask)

    def advice_event(
        self, ask: messages.AskAdvice, reply: exchanges.Reply
    ) -> messages.Advised | messages.AdviceFailed:
        """Decode the advice service's reply, which may be a failure."""
        return machines.advice_event(ask, reply)

    def operators_record(
        self, record: appender.Record
    ) -> catalog.Catalog | messages.WaveRequested | None:
        """Decode a record of the operators' topic.

        Return None for a deleted key, for a key that azurewood does not
        use, and for a malformed record, which is logged.
        """
        try:
            found = _operators_value(record)
        except exceptions.InvalidMessage as exc:
            self._unreadable_operators.add(record, exc)
            return None
        self._unreadable_operators.remove(record.key)
        return found

    def host_record(
        self, record: appender.Record
    ) -> messages.HostSeen | messages.HostGone | None:
        """Decode a host's entry; a deleted key means that the host is gone.

        Return None for a malformed entry, which is logged. It says nothing
        of a host that had a good one: that host's answers to its renewals
        tell whether it can be used.
        """
        try:
            found = _host_event(record)
        except exceptions.InvalidMessage as exc:
            self._unreadable_hosts.add(record, exc)
            return None
        self._unreadable_hosts.remove(record.key)
        return found

    def wave_report(self, report: messages.ReportWave) -> appender.Record:
        """Encode a report of a maintenance wave's progress."""
        key, value = machines.encode_report(report)
        return appender.Record(key=key, value=value)

    def callers(self, desk: desk.JobService) -> ports.Application:
        """Return the WSGI application that serves callers."""
        return frontdoor.Callers(desk=desk)

    def readiness(self, desk: desk.JobService) -> ports.Application:
        """Return the WSGI application that serves balancers' checks."""
        return frontdoor.Readiness(desk=desk)


def _operators_value(
    record: appender.Record,
) -> catalog.Catalog | messages.WaveRequested | None:
    if record.value is None:
        return None
    if record.key == CONFIG_KEY:
        return catalogs.decode(record.value)
    if record.key.startswith(WAVE_PREFIX):
        return machines.decode_wave(record.key, record.value)
    return None


def _host_event(
    record: appender.Record,
) -> messages.HostSeen | messages.HostGone:
    if record.value is None:
        return messages.HostGone(id=record.key)
    entry = hosts.decode_entry(record.key, record.value)
    return messages.HostSeen(entry=entry)

"""The adapter as the fleet daemon uses it."""

import typing

from loguru import logger

from azurewood.conf import fleet
from azurewood.daemons import ports
from azurewood.http import multiplex
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
from azurewood.scheduling import messages

CONFIG_KEY: typing.Final = "config"
WAVE_PREFIX: typing.Final = "wave/"
APPEND_TIMEOUT_MS: typing.Final = 800
"""Appends take about 7 ms, and up to 0.5 s while the store is slow."""


class UsersPlatform:
    """Calls and answers of the users' platform."""

    __slots__ = ("_settings",)

    def __init__(self, *, settings: fleet.FleetSettings) -> None:
        self._settings = settings

    def append(
        self, topic: pages.Topic, request: appender.Request, producer: str
    ) -> multiplex.Call:
        """Append records under a producer's sequence number."""
        return store.append(self._settings.store_url, topic, request, producer)

    def begin_epoch(
        self, topic: pages.Topic, producer: str, epoch: int
    ) -> multiplex.Call:
        """Bar earlier epochs of a producer from a topic."""
        url = self._settings.store_url
        return store.begin_epoch(
            url, topic, producer, epoch, APPEND_TIMEOUT_MS
        )

    def append_at(
        self, topic: pages.Topic, data: bytes, at: int
    ) -> multiplex.Call:
        """Append a record if the topic ends at an offset."""
        url = self._settings.store_url
        return store.append_at(url, topic, data, at, APPEND_TIMEOUT_MS)

    def append_result(self, reply: multiplex.Reply) -> appender.Result:
        """Decode the answer to any append."""
        return store.append_result(reply)

    def read(
        self, topic: pages.Topic, offset: int, wait_ms: int
    ) -> multiplex.Call:
        """Read records from an offset on."""
        return store.read(self._settings.store_url, topic, offset, wait_ms)

    def read_result(
        self, topic: pages.Topic, offset: int, reply: multiplex.Reply
    ) -> pages.ReadResult:
        """Decode the answer to a read."""
        return store.read_result(topic, offset, reply)

    def newest(self, topic: pages.Topic, after: str) -> multiplex.Call:
        """Read the newest records of keys after one."""
        return store.newest(self._settings.store_url, topic, after)

    def newest_result(self, reply: multiplex.Reply) -> pages.NewestResult:
        """Decode a page of newest records."""
        return store.newest_result(reply)

    def host_call(self, effect: messages.Effect, fence: int) -> multiplex.Call:
        """Carry out an effect on a host."""
        return hosts.call(effect, fence)

    def host_event(
        self, effect: messages.Effect, reply: multiplex.Reply
    ) -> messages.Event | None:
        """Decode a host's answer."""
        return hosts.event(effect, reply)

    def machines_call(self, token: str) -> multiplex.Call:
        """Read a page of the list of machines."""
        return machines.list_call(self._settings.machines_url, token)

    def machines_page(
        self, reply: multiplex.Reply
    ) -> machines.MachinePage | None:
        """Decode a page of the list of machines."""
        return machines.list_page(reply)

    def order_call(self, order: messages.Effect, fence: int) -> multiplex.Call:
        """Give a machine an order."""
        url = self._settings.machines_url
        return machines.order_call(url, order, self._settings.name, fence)

    def order_result(self, reply: multiplex.Reply) -> messages.OrderResult:
        """Decode the answer to an order."""
        return machines.order_result(reply)

    def advice_call(self, ask: messages.AskAdvice) -> multiplex.Call:
        """Ask which hosts may run a step."""
        return machines.advice_call(self._settings.advice_url, ask)

    def advice_event(
        self, ask: messages.AskAdvice, reply: multiplex.Reply
    ) -> messages.Advised | None:
        """Decode advice."""
        return machines.advice_event(ask, reply)

    def operators_record(
        self, record: appender.Record
    ) -> catalog.Catalog | messages.WaveRequested | None:
        """Decode what operators wrote; None if it is none of ours."""
        if record.value is None:
            return None
        try:
            if record.key == CONFIG_KEY:
                return catalogs.decode(record.value)
            if record.key.startswith(WAVE_PREFIX):
                return machines.decode_wave(record.key, record.value)
        except exceptions.InvalidMessage as exc:
            _log_unreadable(record.key, exc)
        return None

    def host_record(
        self, record: appender.Record
    ) -> messages.HostSeen | messages.HostGone | None:
        """Decode a host's entry; None if it cannot be read."""
        if record.value is None:
            return messages.HostGone(id=record.key)
        try:
            entry = hosts.decode_entry(record.key, record.value)
        except exceptions.InvalidMessage as exc:
            _log_unreadable(record.key, exc)
            return None
        return messages.HostSeen(entry=entry)

    def wave_report(self, report: messages.ReportWave) -> appender.Record:
        """Encode how far a wave is."""
        key, value = machines.encode_report(report)
        return appender.Record(key=key, value=value)

    def callers(self, desk: desk.Desk) -> ports.Application:
        """Return the application of callers' requests."""
        return frontdoor.Callers(desk=desk)

    def readiness(self, desk: desk.Desk) -> ports.Application:
        """Return the application that balancers ask."""
        return frontdoor.Readiness(desk=desk)


def _log_unreadable(key: str, exc: exceptions.InvalidMessage) -> None:
    logger.bind(event="record.unreadable", key=key).warning(
        "a record is left out: {}", exc
    )

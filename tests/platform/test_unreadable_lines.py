"""Lines about records that cannot be read: one for each change."""

import loguru
import msgspec
import pytest

from azurewood.journal import appender
from azurewood.platform import base
from tests.platform import test_malformed as valid


@pytest.fixture
def lines():
    found = []
    handler = loguru.logger.add(
        lambda message: found.append(message.record["extra"]), level="INFO"
    )
    yield found
    loguru.logger.remove(handler)


def _read(platform, kind, *values):
    read = getattr(platform, kind)
    for value in values:
        read(appender.Record(key="config", value=value))


GOOD = {
    "host_record": msgspec.json.encode(valid.ENTRY),
    "operators_record": msgspec.json.encode(valid.MANIFEST),
}


@pytest.mark.parametrize("kind", GOOD)
def test_a_record_that_is_read_again_is_logged_once(lines, kind):
    platform = base.UsersPlatform(settings=None)
    _read(platform, kind, b"odd", b"odd", b"odd")
    assert [line["event"] for line in lines] == ["record.unreadable"]
    _read(platform, kind, b"other", b"other")
    assert len(lines) == 2


@pytest.mark.parametrize("kind", GOOD)
@pytest.mark.parametrize("between", ["good", None])
def test_a_record_that_is_odd_again_is_logged_again(lines, kind, between):
    platform = base.UsersPlatform(settings=None)
    value = GOOD[kind] if between else None
    _read(platform, kind, b"odd", value, b"odd")
    assert len(lines) == 2

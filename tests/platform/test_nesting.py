"""Data nested too deeply, in a field that its decoder does not declare."""

import msgspec
import pytest

from azurewood.conf import decoding
from azurewood.http import exchanges
from azurewood.jobs import catalog
from azurewood.jobs import exceptions as job_errors
from azurewood.jobs import records
from azurewood.journal import appender
from azurewood.journal import pages
from azurewood.leadership import records as election_records
from azurewood.operators import client
from azurewood.operators import exceptions as operators_errors
from azurewood.operators import messages as operators_messages
from azurewood.peers import exceptions as peer_errors
from azurewood.peers import messages as peer_messages
from azurewood.platform import base
from azurewood.platform import catalogs
from azurewood.platform import exceptions
from azurewood.platform import jobs
from azurewood.platform import machines
from azurewood.platform import store
from azurewood.provider import base as provider
from azurewood.provider import exceptions as provider_errors
from azurewood.scheduling import progress
from azurewood.state import records as state_records
from tests.platform import malformed
from tests.platform import test_malformed as valid

QUEUE = catalog.Queue(name="q", host="h", path_prefix="/p/", service="s")
KEY = b"key-of-the-peers-in-tests"


def _json(message):
    """Return a valid message with a deep field."""
    return malformed.encode_json({**message, "undeclared": malformed.DEEP})


def _msgpack(message):
    return malformed.encode_msgpack({**message, "undeclared": malformed.DEEP})


def _reply(message, status=200):
    return exchanges.Reply(
        outcome=exchanges.Outcome.ANSWERED,
        status=status,
        body=_json(message),
        sent_at=1.0,
        at=2.0,
    )


def test_an_entry_names_no_host():
    platform = base.UsersPlatform(settings=None)
    record = appender.Record(key="h", value=_json(valid.ENTRY))
    assert platform.host_record(record) is None


@pytest.mark.parametrize(
    ("decode", "error"),
    [
        (
            lambda: catalogs.decode(_json(valid.MANIFEST)),
            exceptions.InvalidMessage,
        ),
        (
            lambda: machines.decode_wave("wave/1", _json(valid.WAVE)),
            exceptions.InvalidMessage,
        ),
        (
            lambda: jobs.decode(valid.JOB_ID, QUEUE, _json(valid.JOB), 1),
            job_errors.InvalidJob,
        ),
        (
            lambda: records.decode(_msgpack(valid.ENDED_RECORD)),
            job_errors.InvalidRecord,
        ),
        (
            lambda: state_records.decode(_msgpack({"type": "Seed"})),
            decoding.MalformedData,
        ),
        (
            lambda: provider.decode(_msgpack({}), dict),
            provider_errors.OutcomeUnknown,
        ),
        (
            lambda: client._decode(_json({}), operators_messages.Readiness),
            operators_errors.OperatorsError,
        ),
    ],
)
def test_it_is_the_typed_error(decode, error):
    with pytest.raises(error):
        decode()


def test_a_frame_of_a_peer_is_malformed():
    body = b"\x91" * malformed.DEPTH + b"\xc0"
    envelope = b"\x93\xa1d" + body
    frame = peer_messages._tag(KEY, envelope) + envelope
    with pytest.raises(peer_errors.MalformedMessage):
        peer_messages.decode(frame, key=KEY)


def test_replies_count_as_failed():
    assert machines.list_page(_reply(valid.MACHINES)) is None
    appended = store.append_result(_reply({"offset": 7}))
    assert isinstance(appended, appender.Unknown)
    newest = store.newest_result(_reply(valid.NEWEST))
    assert isinstance(newest, pages.Failed)
    trimmed = _reply({"first_offset": 7}, status=410)
    found = store.read_result(pages.Topic.JOBS, 3, trimmed)
    assert isinstance(found, pages.Failed)


def test_records_are_unreadable():
    beat = {"type": "beat", "nonce": "n", "largest": [1, 2, 3], "cores": 2.0}
    assert election_records.decode(_msgpack(beat)) is None
    job = {"type": "job", "tasks": [valid.TASK_ROW]}
    assert progress.decode(msgspec.msgpack.encode(job)) is not None
    assert progress.decode(_msgpack(job)) is None

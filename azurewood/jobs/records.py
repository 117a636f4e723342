"""Stored records of jobs, encoded as MessagePack.

Every record has a key and a format version. The store keeps the newest value
of each key. A record with a version above ``VERSION`` is refused. Unknown
fields, which later releases may add, are ignored.
"""

import typing

import msgspec

from azurewood.conf import decoding
from azurewood.jobs import exceptions
from azurewood.jobs import model

VERSION: typing.Final = 1


class Accepted(msgspec.Struct, frozen=True, kw_only=True, tag="accepted"):
    """A job was accepted.

    Once its end or cancellation is stored, the leader stores this record again
    without payload and steps.
    """

    job: model.Job
    version: int = VERSION

    @property
    def key(self) -> str:
        """The record's key."""
        return f"a/{self.job.id}"


class Cancelled(msgspec.Struct, frozen=True, kw_only=True, tag="cancelled"):
    """A caller cancelled a job."""

    id: str
    version: int = VERSION

    @property
    def key(self) -> str:
        """The record's key."""
        return f"c/{self.id}"


class Ended(msgspec.Struct, frozen=True, kw_only=True, tag="ended"):
    """All tasks of a job are done, or one used up its attempts."""

    id: str
    phase: model.Phase
    version: int = VERSION

    @property
    def key(self) -> str:
        """The record's key."""
        return f"e/{self.id}"


class Begun(msgspec.Struct, frozen=True, kw_only=True, tag="begun"):
    """The first task of each of these jobs has started."""

    ids: typing.Annotated[tuple[str, ...], msgspec.Meta(min_length=1)]
    version: int = VERSION

    @property
    def key(self) -> str:
        """The record's key: that of the first job."""
        return f"b/{self.ids[0]}"


def keys(job_id: str) -> tuple[str, ...]:
    """Return the keys of all records of a job, with ``Accepted`` last."""
    return tuple(f"{kind}/{job_id}" for kind in ("b", "c", "e", "a"))


def accepted_key(job_id: str) -> str:
    """Return the key of the record that a job was accepted."""
    return f"a/{job_id}"


def end_keys(job_id: str) -> tuple[str, ...]:
    """Return the keys of the records with which a job is over."""
    return (f"c/{job_id}", f"e/{job_id}")


def begun_key(job_id: str) -> str:
    """Return the key of the record that a job has begun."""
    return f"b/{job_id}"


def job_of(key: str) -> str:
    """Return the id of the job that a record's key names."""
    return key.partition("/")[2]


def removed_job(key: str) -> str | None:
    """Return the id of the job whose removal a deleted key completes.

    The result is None for the keys that are deleted before the last one.
    """
    return job_of(key) if key.startswith("a/") else None


Record = Accepted | Cancelled | Ended | Begun

_decoder = msgspec.msgpack.Decoder(Record)


def encode(record: Record) -> bytes:
    """Return the stored bytes of a record."""
    return msgspec.msgpack.encode(record)


def decode(data: bytes) -> Record:
    """Return the record in ``data``; raise ``InvalidRecord`` on error."""
    try:
        record = decoding.decode(_decoder.decode, data)
    except decoding.MalformedData as exc:
        raise exceptions.InvalidRecord(f"malformed job record: {exc}") from exc
    if record.version > VERSION:
        raise exceptions.InvalidRecord(
            f"job record has version {record.version}; the newest supported"
            f" version is {VERSION}"
        )
    return record

"""Lasting records of jobs, as MessagePack.

Every record has a key, of which the store keeps the newest value, and a
format version. A record of a later version than ``VERSION`` is refused;
fields that later versions add are ignored by this one.
"""

import typing

import msgspec

from azurewood.jobs import exceptions
from azurewood.jobs import model

VERSION: typing.Final = 1


class Accepted(msgspec.Struct, frozen=True, kw_only=True, tag="accepted"):
    """A job was accepted."""

    job: model.Job
    version: int = VERSION

    @property
    def key(self) -> str:
        """The record's key."""
        return f"a/{self.job.id}"


class Cancelled(msgspec.Struct, frozen=True, kw_only=True, tag="cancelled"):
    """A job's caller cancelled it."""

    id: str
    version: int = VERSION

    @property
    def key(self) -> str:
        """The record's key."""
        return f"c/{self.id}"


class Ended(msgspec.Struct, frozen=True, kw_only=True, tag="ended"):
    """All tasks of a job are done, or one has failed too often."""

    id: str
    phase: model.Phase
    version: int = VERSION

    @property
    def key(self) -> str:
        """The record's key."""
        return f"e/{self.id}"


class Begun(msgspec.Struct, frozen=True, kw_only=True, tag="begun"):
    """The first tasks of these jobs have started."""

    ids: tuple[str, ...]
    version: int = VERSION

    @property
    def key(self) -> str:
        """The record's key: that of the first job."""
        return f"b/{self.ids[0]}"


def keys(job_id: str) -> tuple[str, ...]:
    """Return the keys of all records of a job; the job's own comes last."""
    return tuple(f"{kind}/{job_id}" for kind in ("b", "c", "e", "a"))


def dropped_job(key: str) -> str | None:
    """Return the job that a dropped key forgets, None if it forgets none."""
    kind, _, job_id = key.partition("/")
    return job_id if kind == "a" else None


Record = Accepted | Cancelled | Ended | Begun

_decoder = msgspec.msgpack.Decoder(Record)


def encode(record: Record) -> bytes:
    """Return a record's stored bytes."""
    return msgspec.msgpack.encode(record)


def decode(data: bytes) -> Record:
    """Return the record in ``data``; raise ``InvalidRecord``."""
    try:
        record = _decoder.decode(data)
    except msgspec.DecodeError as exc:
        raise exceptions.InvalidRecord(
            f"not a record of a job: {exc}"
        ) from exc
    if record.version > VERSION:
        raise exceptions.InvalidRecord(
            f"record of version {record.version}, {VERSION} is known"
        )
    return record

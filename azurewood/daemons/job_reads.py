"""Applies the stored records of jobs to a daemon's registry and its term."""

from loguru import logger

from azurewood.daemons import job_writes
from azurewood.daemons import term as terms
from azurewood.jobs import desk as desks
from azurewood.jobs import exceptions
from azurewood.jobs import records
from azurewood.journal import appender
from azurewood.journal import follower


def drop_removed(
    changes: follower.Changes,
    service: desks.JobService,
    term: terms.Term | None,
) -> None:
    """Drop the known jobs that were removed before a complete listing.

    If the store has dropped its history, their removals can no longer be
    read, and a later leader would run them again. A job that has ended in the
    registry, but not in the listing, was removed and submitted again. A
    leader ignores that case: it writes the removals itself, and the listing
    may have been made in the middle of one.
    """
    registry = service.registry
    known = {*registry.entries, *registry.unreadable}
    if not changes.whole or not known:
        return
    listed = {record.key for record in changes.records}
    for job_id in known:
        entry = registry.entries.get(job_id)
        removed = records.accepted_key(job_id) not in listed
        if not removed and term is None and entry and entry.phase.final:
            removed = listed.isdisjoint(records.end_keys(job_id))
        if removed:
            registry.drop(job_id)
            if term is not None:
                term.handle_removed(job_id)


def apply(
    stored: appender.Record,
    service: desks.JobService,
    writes: job_writes.JobWrites,
    term: terms.Term | None,
) -> None:
    """Apply a record that was read among the jobs."""
    if stored.value is None:
        job_id = records.removed_job(stored.key)
        if job_id is not None:
            service.registry.drop(job_id)
            if term is not None:
                term.handle_removed(job_id)
        return
    try:
        record = records.decode(stored.value)
    except exceptions.InvalidRecord as exc:
        logger.bind(event="record.unreadable", key=stored.key).error(
            "skipping unreadable job record: {}", exc
        )
        service.registry.unreadable.add(records.job_of(stored.key))
        return
    writes.note_read(stored.key)
    changed = service.registry.apply(record)
    if isinstance(record, records.Accepted):
        # After the registry has the job, so that no caller's thread misses it.
        service.unread.pop(record.job.id, None)
    if term is None:
        return
    if changed:
        term.handle_record(record)
    elif isinstance(record, records.Accepted):
        term.handle_repeated(record.job)
